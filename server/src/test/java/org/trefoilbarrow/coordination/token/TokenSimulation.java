package org.trefoilbarrow.coordination.token;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.trefoilbarrow.coordination.share.ShareAction;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.coordination.share.ShareRules;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.ShareRecord;

/**
 * A deterministic simulation, in virtual time, of hosts that run the real state machines for one
 * resource under seeded faults.
 *
 * <p>Messages are lost, duplicated and late; hosts are paused, isolated, restarted and lost; the
 * platform is down and loses responses after writes took effect; each host's clock runs at its own
 * rate, and each host has its own assumption about which host owns the resource. The grant changes,
 * and each host receives the change some time later, a paused one only after it resumes.
 *
 * <p>A global leaky-bucket meter counts every token acquired: it leaks at the granted rate and must
 * never hold more than the burst, which is the bound for every window. While a change is being
 * distributed the larger grant counts, and after a raise the sum of both bursts; while a resumed
 * host has not yet received the change, the grant known to that host counts as well.
 */
public final class TokenSimulation {
  /** A protecting rule that a run leaves out, to show that the check detects this. */
  public enum Mutation {
    NONE,
    LEASE_COUNTS_FROM_RESPONSE,
    CLAIM_DOES_NOT_WAIT,
    CLAIM_BEFORE_LEASE_END,
    DELEGATION_COUNTS_FROM_ANSWER,
    DELEGATION_TO_TWO_OWNERS,
    LOAN_COUNTS_FROM_ANSWER,
    LOST_LOAN_IS_UNSPENT,
    RETURN_WITH_OPEN_LOANS
  }

  static final long MILLI = 1_000_000L;
  static final long SECOND = 1000 * MILLI;

  /** The longest time until a running host receives a changed grant. */
  private static final long WATCH_DELAY = 2 * SECOND;

  /** The longest time until a resumed host receives a changed grant. */
  private static final long RESUME_DELAY = 4 * SECOND;

  /** The time after which a changed grant is in force everywhere. */
  private static final long GRANT_DISTRIBUTION_TIME = 5 * SECOND;

  private static final int SHARES = 6;
  private static final double RATE = 40;
  private static final double BURST = 18;
  private static final double MAX_DRIFT = 0.0005;
  private static final double ROUNDING = 1e-3;
  private static final String RESOURCE = "organisation/one";
  private static final TokenRules RULES =
      new TokenRules(
          SHARES, Duration.ofMillis(2000), Duration.ofMillis(1000), Duration.ofMillis(200));

  private final Random random;
  private final Mutation mutation;
  private final List<Host> hosts = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Map<Integer, Stored> platform = new HashMap<>();
  private final Set<String> partitions = new HashSet<>();
  private long now;
  private long nextOrder;
  private boolean platformDown;
  private boolean busy;
  private Grant grant = new Grant(RATE, BURST, 1);
  private double meterRate = RATE;
  private double meterBurst = BURST;
  private long changes;
  private double meterLevel;
  private long meterUpdatedAt;
  private double peakBurstFraction;
  private long acquired;
  private long refused;
  private long violations;

  private record Event(long at, long order, Runnable action) {}

  private record Stored(long version, ShareRecord record) {}

  /** The result of a run. */
  public record Result(
      long acquired,
      long refused,
      double peakBurstFraction,
      long violations,
      long poolViolations) {}

  public TokenSimulation(long seed, int hostCount, Mutation mutation) {
    this.random = new Random(seed);
    this.mutation = mutation;
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host(i));
    }
  }

  /** Runs for the given virtual time. */
  public Result run(Duration time) {
    hosts.forEach(Host::boot);
    schedule(SECOND, this::fault);
    schedule(SECOND, this::changeDemand);
    schedule(between(6 * SECOND, 25 * SECOND), this::changeGrant);
    long end = time.toNanos();
    while (!events.isEmpty() && events.peek().at() < end) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    long poolViolations = hosts.stream().mapToLong(host -> host.poolViolations).sum();
    return new Result(acquired, refused, peakBurstFraction, violations, poolViolations);
  }

  private void schedule(long delay, Runnable action) {
    events.add(new Event(now + Math.max(0, delay), nextOrder++, action));
  }

  private long between(long from, long to) {
    return from + (long) (random.nextDouble() * (to - from));
  }

  private boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  private void meterAcquire() {
    double rate = meterRate;
    double burst = meterBurst;
    for (Host host : hosts) {
      if (host.isBehind()) {
        rate = Math.max(rate, host.known.tokensPerSecond());
        burst += host.known.burst();
      }
    }
    // The fastest clock accrues slightly more than the rate.
    double leaked = (now - meterUpdatedAt) / (double) SECOND * rate * (1 + MAX_DRIFT);
    meterLevel = Math.max(0, meterLevel - leaked) + 1;
    meterUpdatedAt = now;
    acquired++;
    peakBurstFraction = Math.max(peakBurstFraction, meterLevel / burst);
    if (meterLevel > burst + ROUNDING) {
      violations++;
    }
  }

  private void changeGrant() {
    double rate = RATE * (0.1 + random.nextDouble() * 1.9);
    double burst = Math.ceil(BURST * (0.1 + random.nextDouble() * 1.9));
    Grant changed = new Grant(rate, burst, grant.version() + 1);
    meterRate = Math.max(meterRate, changed.tokensPerSecond());
    // A raised burst may be acquired at once, on top of what the old grant allowed just before.
    boolean raised = changed.burst() > grant.burst();
    meterBurst = raised ? meterBurst + changed.burst() : Math.max(meterBurst, changed.burst());
    grant = changed;
    changes++;
    long change = changes;
    for (Host host : hosts) {
      schedule(between(MILLI, WATCH_DELAY), () -> host.receiveGrant(changed));
    }
    schedule(GRANT_DISTRIBUTION_TIME, () -> enforce(change));
    schedule(between(6 * SECOND, 25 * SECOND), this::changeGrant);
  }

  /** Lets only the new grant count, for windows that start now or later. */
  private void enforce(long change) {
    if (change == changes) {
      meterRate = grant.tokensPerSecond();
      meterBurst = grant.burst();
      meterLevel = 0;
      meterUpdatedAt = now;
    }
  }

  /** Alternates busy and idle times of callers, so that unspent tokens accumulate. */
  private void changeDemand() {
    busy = !busy;
    schedule(between(SECOND / 2, busy ? 8 * SECOND : 3 * SECOND), this::changeDemand);
  }

  private void fault() {
    Host host = hosts.get(random.nextInt(hosts.size()));
    switch (random.nextInt(10)) {
      case 0 -> host.pause(between(100 * MILLI, 15 * SECOND));
      case 1 -> host.restart(between(20 * MILLI, 3 * SECOND));
      case 2 -> host.restart(between(10 * SECOND, 30 * SECOND));
      case 3 -> {
        platformDown = true;
        schedule(between(SECOND, 25 * SECOND), () -> platformDown = false);
      }
      case 4 -> partition(host, hosts.get(random.nextInt(hosts.size())));
      case 5 -> hosts.forEach(h -> h.assumedOwner = random.nextInt(hosts.size()));
      case 6, 7 -> {
        host.isolatedFromPlatform = true;
        schedule(between(SECOND, 25 * SECOND), () -> host.isolatedFromPlatform = false);
      }
      case 8 -> host.assumedOwner = random.nextInt(hosts.size());
      default -> hosts.forEach(h -> h.assumedOwner = 0);
    }
    schedule(between(200 * MILLI, 16 * SECOND), this::fault);
  }

  private void partition(Host one, Host other) {
    String key = one.index + "-" + other.index;
    partitions.add(key);
    schedule(between(SECOND, 20 * SECOND), () -> partitions.remove(key));
  }

  private boolean isPartitioned(Host one, Host other) {
    return one != other
        && (partitions.contains(one.index + "-" + other.index)
            || partitions.contains(other.index + "-" + one.index));
  }

  /** Sends a message, which may be lost, late or duplicated. */
  private void send(Host from, Host to, Runnable onArrival) {
    if (isPartitioned(from, to) || (from != to && chance(0.03))) {
      return;
    }
    int copies = from != to && chance(0.03) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = from == to ? 0 : between(MILLI / 2, 3 * MILLI);
      if (from != to && chance(0.04)) {
        delay = between(10 * MILLI, 4 * SECOND);
      }
      schedule(delay, () -> to.whenRunning(onArrival));
    }
  }

  /** A host with the real state machines. */
  private final class Host {
    final int index;
    final HostId id;
    final double clockRate;
    final long offset;
    long incarnation;
    boolean up;
    boolean isolatedFromPlatform;
    long pausedUntil;
    int assumedOwner;
    long poolViolations;
    ShareLeases shares;
    ShareDelegations delegations;
    TokenPool pool;
    BorrowedTokens loans;
    Grant known = grant;
    List<LoanAnswer> lent = new ArrayList<>();
    long nextPool;

    Host(int index) {
      this.index = index;
      this.id = HostId.of("host-" + index);
      this.clockRate = 1 + (random.nextDouble() * 2 - 1) * MAX_DRIFT;
      this.offset = between(0, 1000 * SECOND);
    }

    long clock() {
      return offset + (long) (now * clockRate);
    }

    void boot() {
      incarnation++;
      up = true;
      Duration lease = Duration.ofSeconds(8);
      Duration wait =
          mutation == Mutation.CLAIM_DOES_NOT_WAIT ? Duration.ZERO : Duration.ofMillis(2600);
      ShareRules rules = new ShareRules(SHARES, lease, wait, Duration.ofMillis(100));
      shares = new ShareLeases(rules, id, incarnation);
      delegations = new ShareDelegations(RULES);
      known = grant;
      pool = newPool();
      loans = new BorrowedTokens();
      long startedIncarnation = incarnation;
      repeat(startedIncarnation, 500 * MILLI, this::shareStep);
      repeat(startedIncarnation, 400 * MILLI, this::requestDelegations);
      repeat(startedIncarnation, 400 * MILLI, this::returnPoolOfOtherOwner);
      repeat(
          startedIncarnation,
          400 * MILLI,
          () -> delegations.evictFull(resource -> Optional.of(known), clock()));
      repeat(startedIncarnation, 20 * MILLI, this::requestLoans);
      repeat(startedIncarnation, 6 * MILLI, this::callerArrives);
    }

    /** Repeats an action while this incarnation runs, but not while it is paused. */
    private void repeat(long startedIncarnation, long every, Runnable action) {
      schedule(
          between(0, every),
          new Runnable() {
            @Override
            public void run() {
              if (!up || incarnation != startedIncarnation) {
                return;
              }
              if (now < pausedUntil) {
                schedule(pausedUntil - now, this);
                return;
              }
              action.run();
              schedule(between(every / 2, every * 3 / 2), this);
            }
          });
    }

    void whenRunning(Runnable action) {
      if (!up) {
        return;
      }
      if (now < pausedUntil) {
        schedule(pausedUntil - now, () -> whenRunning(action));
      } else {
        action.run();
      }
    }

    /** Receives a changed grant by a watch, which a pause delays. */
    void receiveGrant(Grant changed) {
      if (up && now < pausedUntil) {
        schedule(pausedUntil - now + between(MILLI, RESUME_DELAY), () -> receiveGrant(changed));
      } else if (changed.version() > known.version()) {
        known = changed;
        // For windows that start now, this host is up to date.
        meterLevel = 0;
        meterUpdatedAt = now;
      }
    }

    /** Returns whether this host has resumed after a pause and not yet received a change. */
    boolean isBehind() {
      return up && now >= pausedUntil && known.version() < grant.version();
    }

    private TokenPool newPool() {
      nextPool++;
      lent = new ArrayList<>();
      return new TokenPool(RULES, known, (incarnation << 32) + (nextPool << 20), clock());
    }

    /** Returns the shares of the pool if another host owns the resource now. */
    void returnPoolOfOtherOwner() {
      boolean withLoans = mutation == Mutation.RETURN_WITH_OPEN_LOANS;
      if (assumedOwner == index || (!withLoans && pool.hasLoans(clock()))) {
        return;
      }
      poolViolations += pool.boundViolations();
      if (withLoans) {
        lent.forEach(loan -> pool.settle(loan.loanId(), loan.tokens(), clock()));
      }
      String owner = id + "#" + incarnation;
      for (TokenPool.ReturnedShares returned : pool.returnShares(clock())) {
        sendReturn(owner, returned);
      }
      pool = newPool();
    }

    private void sendReturn(String owner, TokenPool.ReturnedShares returned) {
      int holderIndex = Integer.parseInt(returned.holder().replaceAll("host-(\\d+)#.*", "$1"));
      Host holder = hosts.get(holderIndex);
      send(
          this,
          holder,
          () -> {
            boolean sameLife = returned.holder().equals(holder.id + "#" + holder.incarnation);
            if (sameLife) {
              holder.delegations.onSharesReturned(
                  RESOURCE,
                  owner,
                  returned.delegationId(),
                  returned.tokens(),
                  holder.known,
                  holder.clock());
            }
          });
    }

    void pause(long time) {
      pausedUntil = Math.max(pausedUntil, now + time);
    }

    void restart(long after) {
      if (!up) {
        return;
      }
      up = false;
      poolViolations += pool.boundViolations();
      schedule(after, this::boot);
    }

    void shareStep() {
      if (!platformDown && !isolatedFromPlatform) {
        long observed = clock();
        if (mutation == Mutation.CLAIM_BEFORE_LEASE_END) {
          observed -= 6 * SECOND;
        }
        for (int share = 0; share < SHARES; share++) {
          Stored stored = platform.getOrDefault(share, new Stored(0, ShareRecord.neverHeld()));
          shares.observe(share, stored.version(), stored.record(), observed);
        }
      }
      Predicate<ShareRecord> superseded =
          record ->
              hosts.stream()
                  .anyMatch(
                      h ->
                          h.id.equals(record.holder())
                              && h.up
                              && h.incarnation > record.incarnation());
      // A host that assumes others failed wants more than its number of shares.
      int assumedLive = hosts.size() - (chance(0.2) ? random.nextInt(hosts.size()) : 0);
      int wanted = (SHARES + assumedLive - 1) / assumedLive;
      for (ShareAction action : shares.plan(wanted, superseded, share -> true, clock())) {
        write(action);
      }
    }

    /** Sends a write that may be late, lost, or applied with its response lost and read back. */
    private void write(ShareAction action) {
      long sentAt = clock();
      long startedIncarnation = incarnation;
      long requestDelay = chance(0.1) ? between(10 * MILLI, 6 * SECOND) : between(MILLI, 5 * MILLI);
      long responseDelay =
          chance(0.1) ? between(10 * MILLI, 6 * SECOND) : between(MILLI, 5 * MILLI);
      schedule(
          requestDelay,
          () -> {
            long version = platformDown || isolatedFromPlatform ? 0 : apply(action);
            schedule(
                responseDelay,
                () ->
                    whenRunning(
                        () -> {
                          if (incarnation == startedIncarnation) {
                            boolean fromAnswer = mutation == Mutation.LEASE_COUNTS_FROM_RESPONSE;
                            long counted = fromAnswer ? clock() : sentAt;
                            shares.onWritten(action, counted, version, clock());
                          }
                        }));
          });
    }

    private long apply(ShareAction action) {
      Stored stored = platform.getOrDefault(action.share(), new Stored(0, ShareRecord.neverHeld()));
      if (stored.version() != action.expectedVersion()) {
        return 0;
      }
      platform.put(action.share(), new Stored(stored.version() + 1, action.record()));
      return stored.version() + 1;
    }

    void requestDelegations() {
      if (assumedOwner != index && chance(0.7)) {
        return;
      }
      long startedIncarnation = incarnation;
      for (Host holder : hosts) {
        long sentAt = clock();
        send(
            this,
            holder,
            () -> {
              String owner = id + "#" + startedIncarnation;
              boolean toTwoOwners = mutation == Mutation.DELEGATION_TO_TWO_OWNERS;
              DelegationAnswer answer =
                  holder.delegations.delegate(
                      toTwoOwners ? RESOURCE + owner : RESOURCE,
                      owner,
                      holder.known,
                      holder.shares.usable(holder.clock()),
                      holder.clock());
              String holderId = holder.id + "#" + holder.incarnation;
              send(holder, this, () -> onDelegation(startedIncarnation, holderId, answer, sentAt));
            });
      }
    }

    private void onDelegation(
        long startedIncarnation, String holderId, DelegationAnswer answer, long sentAt) {
      if (incarnation != startedIncarnation) {
        return;
      }
      boolean fromAnswer = mutation == Mutation.DELEGATION_COUNTS_FROM_ANSWER;
      pool.onDelegation(holderId, answer, fromAnswer ? clock() : sentAt, clock());
    }

    void requestLoans() {
      Host owner = hosts.get(assumedOwner);
      long startedIncarnation = incarnation;
      for (Settlement settlement : loans.collectSettlements(clock())) {
        Host lender = hosts.get(indexOf(settlement.owner()));
        send(
            this,
            lender,
            () -> lender.pool.settle(settlement.loanId(), settlement.unspent(), lender.clock()));
      }
      int wanted = loans.wanted(clock());
      if (wanted == 0) {
        return;
      }
      long sentAt = clock();
      long requestId = loans.openRequest(sentAt);
      schedule(450 * MILLI, () -> whenRunning(() -> timeOutRequest(startedIncarnation, requestId)));
      send(
          this,
          owner,
          () -> {
            owner.pool.setGrant(owner.known, owner.clock());
            LoanAnswer loan = owner.pool.lend(wanted, owner.clock());
            owner.lent.add(loan);
            send(owner, this, () -> onLoan(startedIncarnation, requestId, owner, loan));
          });
    }

    private void timeOutRequest(long startedIncarnation, long requestId) {
      if (incarnation == startedIncarnation) {
        loans.onNoAnswer(requestId);
      }
    }

    private void onLoan(long startedIncarnation, long requestId, Host owner, LoanAnswer loan) {
      if (incarnation != startedIncarnation) {
        return;
      }
      LoanAnswer seen = loan;
      if (mutation == Mutation.LOAN_COUNTS_FROM_ANSWER) {
        // As if the loan started when its answer arrived, which may be late.
        seen =
            new LoanAnswer(loan.loanId(), loan.tokens(), loan.validNanos() * 4, loan.wholeGrant());
      }
      loans.onAnswer(requestId, owner.id, seen, clock());
      if (mutation == Mutation.LOST_LOAN_IS_UNSPENT && chance(0.1)) {
        owner.pool.settle(loan.loanId(), loan.tokens(), owner.clock());
      }
    }

    void callerArrives() {
      if (!busy) {
        return;
      }
      loans.onDemand(clock());
      if (loans.tryAcquire(clock())) {
        meterAcquire();
      } else {
        refused++;
      }
    }

    private int indexOf(HostId host) {
      return Integer.parseInt(host.value().substring("host-".length()));
    }
  }
}
