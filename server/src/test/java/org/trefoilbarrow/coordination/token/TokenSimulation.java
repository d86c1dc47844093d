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
 * Hosts that run the real decision code for one resource under seeded faults, in virtual time.
 *
 * <p>Messages are lost, doubled and late; hosts are paused, cut off, restarted and lost; the
 * platform is down and loses answers after writes took effect; each host's clock runs at its own
 * pace, and each host has its own belief of who owns the resource. The grant changes, and each host
 * learns of it some time later, a paused one only after it wakes. A meter outside counts every
 * token taken: it leaks at the granted rate, and must never hold more than the burst, which is the
 * bound for every window. While a change is on its way the larger grant counts, and after a raise
 * the sum of both bursts; while a host that woke has not heard of it, what that host knows counts
 * as well.
 */
public final class TokenSimulation {
  /** A protecting rule that a run may leave out, to show that the check finds it missing. */
  public enum Mutation {
    NONE,
    LEASE_COUNTS_FROM_ANSWER,
    CLAIM_DOES_NOT_WAIT,
    CLAIM_ON_SHORT_SILENCE,
    DELEGATION_COUNTS_FROM_ANSWER,
    DELEGATION_TO_TWO_OWNERS,
    LOAN_COUNTS_FROM_ANSWER,
    LOST_LOAN_IS_UNSPENT,
    RETURN_WITH_OPEN_LOANS
  }

  static final long MILLI = 1_000_000L;
  static final long SECOND = 1000 * MILLI;

  /** The longest time until a host that is awake learns of a changed grant. */
  private static final long WATCH_DELAY = 2 * SECOND;

  /** The longest time until a host that was paused learns of a changed grant. */
  private static final long WAKE_DELAY = 4 * SECOND;

  /** The time after which a changed grant is in force everywhere. */
  private static final long IN_FORCE = 5 * SECOND;

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
  private final Set<String> cuts = new HashSet<>();
  private long now;
  private long nextOrder;
  private boolean outage;
  private boolean busy;
  private Grant grant = new Grant(RATE, BURST, 1);
  private double meterRate = RATE;
  private double meterBurst = BURST;
  private long changes;
  private double metered;
  private long meteredAt;
  private double mostMetered;
  private long taken;
  private long refused;
  private long violations;

  private record Event(long at, long order, Runnable action) {}

  private record Stored(long version, ShareRecord record) {}

  /** What came of a run. */
  public record Result(
      long taken, long refused, double mostOfBurst, long violations, long poolAlarms) {}

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
    long alarms = hosts.stream().mapToLong(host -> host.alarms).sum();
    return new Result(taken, refused, mostMetered, violations, alarms);
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

  private void meterTake() {
    double rate = meterRate;
    double burst = meterBurst;
    for (Host host : hosts) {
      if (host.isBehind()) {
        rate = Math.max(rate, host.known.tokensPerSecond());
        burst += host.known.burst();
      }
    }
    // The fastest clock mints a little more than the rate.
    double leaked = (now - meteredAt) / (double) SECOND * rate * (1 + MAX_DRIFT);
    metered = Math.max(0, metered - leaked) + 1;
    meteredAt = now;
    taken++;
    mostMetered = Math.max(mostMetered, metered / burst);
    if (metered > burst + ROUNDING) {
      violations++;
    }
  }

  private void changeGrant() {
    double rate = RATE * (0.1 + random.nextDouble() * 1.9);
    double burst = Math.ceil(BURST * (0.1 + random.nextDouble() * 1.9));
    Grant changed = new Grant(rate, burst, grant.version() + 1);
    meterRate = Math.max(meterRate, changed.tokensPerSecond());
    // A raised burst may be taken at once, on top of what the old grant gave just before.
    boolean raised = changed.burst() > grant.burst();
    meterBurst = raised ? meterBurst + changed.burst() : Math.max(meterBurst, changed.burst());
    grant = changed;
    changes++;
    long change = changes;
    for (Host host : hosts) {
      schedule(between(MILLI, WATCH_DELAY), () -> host.learn(changed));
    }
    schedule(IN_FORCE, () -> enforce(change));
    schedule(between(6 * SECOND, 25 * SECOND), this::changeGrant);
  }

  /** From now on the new grant alone counts, for windows that begin now or later. */
  private void enforce(long change) {
    if (change == changes) {
      meterRate = grant.tokensPerSecond();
      meterBurst = grant.burst();
      metered = 0;
      meteredAt = now;
    }
  }

  /** Callers come in bursts, so that tokens gather in between. */
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
        outage = true;
        schedule(between(SECOND, 25 * SECOND), () -> outage = false);
      }
      case 4 -> cut(host, hosts.get(random.nextInt(hosts.size())));
      case 5 -> hosts.forEach(h -> h.believedOwner = random.nextInt(hosts.size()));
      case 6, 7 -> {
        host.cutFromPlatform = true;
        schedule(between(SECOND, 25 * SECOND), () -> host.cutFromPlatform = false);
      }
      case 8 -> host.believedOwner = random.nextInt(hosts.size());
      default -> hosts.forEach(h -> h.believedOwner = 0);
    }
    schedule(between(200 * MILLI, 16 * SECOND), this::fault);
  }

  private void cut(Host one, Host other) {
    String key = one.index + "-" + other.index;
    cuts.add(key);
    schedule(between(SECOND, 20 * SECOND), () -> cuts.remove(key));
  }

  private boolean isCut(Host one, Host other) {
    return one != other
        && (cuts.contains(one.index + "-" + other.index)
            || cuts.contains(other.index + "-" + one.index));
  }

  /** Sends a message: it may be lost, late or doubled. */
  private void send(Host from, Host to, Runnable onArrival) {
    if (isCut(from, to) || (from != to && chance(0.03))) {
      return;
    }
    int copies = from != to && chance(0.03) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = from == to ? 0 : between(MILLI / 2, 3 * MILLI);
      if (from != to && chance(0.04)) {
        delay = between(10 * MILLI, 4 * SECOND);
      }
      schedule(delay, () -> to.whenAwake(onArrival));
    }
  }

  /** One host with the real state machines. */
  private final class Host {
    final int index;
    final HostId id;
    final double pace;
    final long offset;
    long incarnation;
    boolean up;
    boolean cutFromPlatform;
    long pausedUntil;
    int believedOwner;
    long alarms;
    ShareLeases keeper;
    ShareDelegations delegations;
    TokenPool pool;
    BorrowedTokens loans;
    Grant known = grant;
    List<LoanAnswer> lent = new ArrayList<>();
    long nextPool;

    Host(int index) {
      this.index = index;
      this.id = HostId.of("host-" + index);
      this.pace = 1 + (random.nextDouble() * 2 - 1) * MAX_DRIFT;
      this.offset = between(0, 1000 * SECOND);
    }

    long clock() {
      return offset + (long) (now * pace);
    }

    void boot() {
      incarnation++;
      up = true;
      Duration lease = Duration.ofSeconds(8);
      Duration wait =
          mutation == Mutation.CLAIM_DOES_NOT_WAIT ? Duration.ZERO : Duration.ofMillis(2600);
      ShareRules rules = new ShareRules(SHARES, lease, wait, Duration.ofMillis(100));
      keeper = new ShareLeases(rules, id, incarnation);
      delegations = new ShareDelegations(RULES);
      known = grant;
      pool = newPool();
      loans = new BorrowedTokens();
      long life = incarnation;
      repeat(life, 500 * MILLI, this::shareStep);
      repeat(life, 400 * MILLI, this::askForDelegations);
      repeat(life, 400 * MILLI, this::dropPoolOfAnother);
      repeat(
          life, 400 * MILLI, () -> delegations.evictFull(resource -> Optional.of(known), clock()));
      repeat(life, 20 * MILLI, this::askForLoans);
      repeat(life, 6 * MILLI, this::callerArrives);
    }

    /** Repeats an action for as long as this incarnation lives, but not while paused. */
    private void repeat(long life, long every, Runnable action) {
      schedule(
          between(0, every),
          new Runnable() {
            @Override
            public void run() {
              if (!up || incarnation != life) {
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

    void whenAwake(Runnable action) {
      if (!up) {
        return;
      }
      if (now < pausedUntil) {
        schedule(pausedUntil - now, () -> whenAwake(action));
      } else {
        action.run();
      }
    }

    /** Learns of a changed grant by a watch, which a pause holds up. */
    void learn(Grant changed) {
      if (up && now < pausedUntil) {
        schedule(pausedUntil - now + between(MILLI, WAKE_DELAY), () -> learn(changed));
      } else if (changed.version() > known.version()) {
        known = changed;
        // For windows that begin now the host is no longer behind.
        metered = 0;
        meteredAt = now;
      }
    }

    /** Returns whether this host woke from a pause and has not heard of a change yet. */
    boolean isBehind() {
      return up && now >= pausedUntil && known.version() < grant.version();
    }

    private TokenPool newPool() {
      nextPool++;
      lent = new ArrayList<>();
      return new TokenPool(RULES, known, (incarnation << 32) + (nextPool << 20), clock());
    }

    /** Gives the shares of a pool back that another host owns now. */
    void dropPoolOfAnother() {
      boolean withLoans = mutation == Mutation.RETURN_WITH_OPEN_LOANS;
      if (believedOwner == index || (!withLoans && pool.hasLoans(clock()))) {
        return;
      }
      alarms += pool.boundViolations();
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
      alarms += pool.boundViolations();
      schedule(after, this::boot);
    }

    void shareStep() {
      if (!outage && !cutFromPlatform) {
        long observed = clock();
        if (mutation == Mutation.CLAIM_ON_SHORT_SILENCE) {
          observed -= 6 * SECOND;
        }
        for (int share = 0; share < SHARES; share++) {
          Stored stored = platform.getOrDefault(share, new Stored(0, ShareRecord.neverHeld()));
          keeper.observe(share, stored.version(), stored.record(), observed);
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
      // A host that thinks others dead wants more than its part.
      int thoughtLive = hosts.size() - (chance(0.2) ? random.nextInt(hosts.size()) : 0);
      int wanted = (SHARES + thoughtLive - 1) / thoughtLive;
      for (ShareAction action : keeper.plan(wanted, superseded, share -> true, clock())) {
        write(action);
      }
    }

    /** Makes a write that may be late, lost, or applied with its answer lost and read back. */
    private void write(ShareAction action) {
      long sentAt = clock();
      long life = incarnation;
      long travel = chance(0.1) ? between(10 * MILLI, 6 * SECOND) : between(MILLI, 5 * MILLI);
      long back = chance(0.1) ? between(10 * MILLI, 6 * SECOND) : between(MILLI, 5 * MILLI);
      schedule(
          travel,
          () -> {
            long version = outage || cutFromPlatform ? 0 : apply(action);
            schedule(
                back,
                () ->
                    whenAwake(
                        () -> {
                          if (incarnation == life) {
                            boolean fromAnswer = mutation == Mutation.LEASE_COUNTS_FROM_ANSWER;
                            long counted = fromAnswer ? clock() : sentAt;
                            keeper.onWritten(action, counted, version, clock());
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

    void askForDelegations() {
      if (believedOwner != index && chance(0.7)) {
        return;
      }
      long life = incarnation;
      for (Host holder : hosts) {
        long sentAt = clock();
        send(
            this,
            holder,
            () -> {
              String owner = id + "#" + life;
              boolean blind = mutation == Mutation.DELEGATION_TO_TWO_OWNERS;
              DelegationAnswer answer =
                  holder.delegations.delegate(
                      blind ? RESOURCE + owner : RESOURCE,
                      owner,
                      holder.known,
                      holder.keeper.usable(holder.clock()),
                      holder.clock());
              String holderId = holder.id + "#" + holder.incarnation;
              send(holder, this, () -> onDelegation(life, holderId, answer, sentAt));
            });
      }
    }

    private void onDelegation(long life, String holderId, DelegationAnswer answer, long sentAt) {
      if (incarnation != life) {
        return;
      }
      boolean fromAnswer = mutation == Mutation.DELEGATION_COUNTS_FROM_ANSWER;
      pool.onDelegation(holderId, answer, fromAnswer ? clock() : sentAt, clock());
    }

    void askForLoans() {
      Host owner = hosts.get(believedOwner);
      long life = incarnation;
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
      schedule(450 * MILLI, () -> whenAwake(() -> giveUp(life, requestId)));
      send(
          this,
          owner,
          () -> {
            owner.pool.setGrant(owner.known, owner.clock());
            LoanAnswer loan = owner.pool.lend(wanted, owner.clock());
            owner.lent.add(loan);
            send(owner, this, () -> onLoan(life, requestId, owner, loan));
          });
    }

    private void giveUp(long life, long requestId) {
      if (incarnation == life) {
        loans.onNoAnswer(requestId);
      }
    }

    private void onLoan(long life, long requestId, Host owner, LoanAnswer loan) {
      if (incarnation != life) {
        return;
      }
      LoanAnswer seen = loan;
      if (mutation == Mutation.LOAN_COUNTS_FROM_ANSWER) {
        // As if the loan began when its answer arrived, which may be late.
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
        meterTake();
      } else {
        refused++;
      }
    }

    private int indexOf(HostId host) {
      return Integer.parseInt(host.value().substring("host-".length()));
    }
  }
}
