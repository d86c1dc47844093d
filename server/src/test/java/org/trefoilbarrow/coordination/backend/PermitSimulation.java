package org.trefoilbarrow.coordination.backend;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RouteTarget;

/**
 * A deterministic simulation, in virtual time and with seeds, of hosts that lend each other the
 * permits of one warm backend server. The network loses and delays messages; hosts pause and
 * restart.
 *
 * <p>The schedulers are the real ones; network, clock and callers are simulated. The invariant: the
 * requests in progress on a host's own permits plus the loans that are valid at their borrowers
 * never exceed the server's permits.
 */
public final class PermitSimulation {
  public static final int PERMITS = 10;

  private static final int SHARES = 12;
  private static final long MILLI = 1_000_000;
  private static final long CLAIM_WAIT = 1500 * MILLI;
  private static final long CALLER_TIMEOUT = 500 * MILLI;
  private static final long CLIENT_TIMEOUT = 300 * MILLI;
  private static final RouteTarget MODEL = RouteTarget.of("echo");
  private static final BackendServerId SERVER = BackendServerId.of("one");
  private static final PermitRules RULES =
      new PermitRules(
          Duration.ofMillis(100),
          Duration.ofMillis(100),
          Duration.ofHours(5),
          Duration.ofMillis(10),
          Duration.ofMillis(500),
          Duration.ofMillis(1000),
          Duration.ofMillis(1000),
          Duration.ofMillis(100));

  private final Random random;
  private final Mutation mutation;
  private final List<Host> hosts = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));
  private long now = MILLI;
  private long nextOrder;
  private long nextRequestId;
  private long borrowedStarts;

  /** A protecting rule that a run leaves out, to show that the check detects this. */
  public enum Mutation {
    NONE,
    /** A loan counts from the arrival of its answer instead of the send of its request. */
    COUNT_FROM_ARRIVAL,
    /**
     * A restarted host uses its shares before the loans of its earlier incarnation have expired.
     */
    USE_SHARES_WITHOUT_WAIT,
    /** A permit is returned while its borrower keeps using it. */
    RETURN_PERMIT_IN_USE
  }

  private record Event(long nanos, long order, Runnable action) {}

  /** A host; a restart replaces its scheduler. */
  private final class Host {
    final HostId id;
    final Set<Integer> shares = new HashSet<>();
    PermitScheduler scheduler;
    int incarnation;
    long pausedUntil;

    Host(int number) {
      this.id = HostId.of("host-" + number);
    }

    void start(Set<Integer> usable) {
      incarnation++;
      scheduler =
          new PermitScheduler(
              RULES,
              BackendChoice.byLoadAndAffinity(FailureDomainId.of("north")),
              SHARES,
              (long) incarnation << 20);
      scheduler.setShares(usable);
      scheduler.configure(ImmutableList.of(server()), now);
    }

    /** Runs an action at this host after its pause, if any, unless the host restarts first. */
    void run(long delay, Runnable action) {
      int startedIn = incarnation;
      schedule(delay, () -> runAwake(startedIn, action));
    }

    private void runAwake(int startedIn, Runnable action) {
      if (startedIn != incarnation) {
        return;
      }
      if (now < pausedUntil) {
        schedule(pausedUntil - now, () -> runAwake(startedIn, action));
        return;
      }
      action.run();
    }
  }

  public PermitSimulation(long seed, int hostCount, Mutation mutation) {
    this.random = new Random(seed);
    this.mutation = mutation;
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new Host(i));
    }
    for (int share = 0; share < SHARES; share++) {
      hosts.get(random.nextInt(hostCount)).shares.add(share);
    }
    for (Host host : hosts) {
      host.start(host.shares);
      warm(host);
      startLoops(host);
    }
  }

  /**
   * Runs the simulation; returns the largest excess over the server's permits, 0 or less if none.
   */
  public int run(Duration time) {
    long end = now + time.toNanos();
    int worst = Integer.MIN_VALUE;
    while (!events.isEmpty() && events.peek().nanos() < end) {
      Event event = events.poll();
      now = event.nanos();
      event.action().run();
      worst = Math.max(worst, inUse() - PERMITS);
    }
    return worst;
  }

  /** Returns the number of requests that started on borrowed permits. */
  public long borrowedStarts() {
    return borrowedStarts;
  }

  private int inUse() {
    int sum = 0;
    for (Host host : hosts) {
      BackendReport report = report(host);
      sum += report.online() + report.batch() + host.scheduler.validLoans(now);
    }
    return sum;
  }

  private BackendReport report(Host host) {
    return host.scheduler.report(now).get(0);
  }

  private static BackendDefinition server() {
    return new BackendDefinition(
        SERVER,
        "http://127.0.0.1:1",
        FailureDomainId.of("north"),
        ImmutableSet.of(MODEL),
        PERMITS,
        PERMITS,
        true);
  }

  private void schedule(long delay, Runnable action) {
    events.add(new Event(now + Math.max(0, delay), nextOrder++, action));
  }

  private void warm(Host host) {
    host.scheduler.onReachable(SERVER, now);
    Optional<Permit> probe = host.scheduler.request(newRequest(), now);
    probe.ifPresent(permit -> host.scheduler.release(permit, CallResult.SUCCESS, now));
  }

  private void startLoops(Host host) {
    host.run(jitter(20), () -> lendLoop(host));
    host.run(jitter(50), () -> tickLoop(host));
    host.run(jitter(50), () -> callerLoop(host));
    schedule(jitter(4000), () -> faultLoop(host));
  }

  private long jitter(int millis) {
    return 1 + (long) (random.nextDouble() * millis * MILLI);
  }

  private PermitRequest newRequest() {
    return new PermitRequest(
        nextRequestId++, MODEL, OrganisationId.of("workshop"), 1, 1000, ImmutableSet.of(), "");
  }

  private void tickLoop(Host host) {
    host.scheduler.assign(now).forEach(assignment -> hold(host, assignment.permit()));
    host.scheduler
        .collectRevocations(now)
        .forEach(permit -> host.scheduler.release(permit, CallResult.CANCELLED, now));
    host.run(50 * MILLI, () -> tickLoop(host));
  }

  private void callerLoop(Host host) {
    boolean busyTime = (now / (3000 * MILLI) + hosts.indexOf(host)) % hosts.size() == 0;
    if (random.nextInt(4) == 0) {
      host.scheduler.tryAcquireForBatch(newRequest(), now).ifPresent(permit -> hold(host, permit));
    } else {
      request(host);
    }
    host.run(jitter(busyTime ? 15 : 600), () -> callerLoop(host));
  }

  private void request(Host host) {
    PermitRequest request = newRequest();
    Optional<Permit> permit = host.scheduler.request(request, now);
    if (permit.isPresent()) {
      hold(host, permit.get());
    } else {
      PermitScheduler requestedAt = host.scheduler;
      host.run(CALLER_TIMEOUT, () -> requestedAt.withdraw(request));
    }
  }

  private void hold(Host host, Permit permit) {
    borrowedStarts += report(host).borrowed() > 0 ? 1 : 0;
    PermitScheduler grantedBy = host.scheduler;
    host.run(jitter(900), () -> grantedBy.release(permit, CallResult.SUCCESS, now));
  }

  private void lendLoop(Host host) {
    Map<HostId, List<Long>> returns = host.scheduler.collectReturns(now);
    Map<HostId, List<Long>> renewals = host.scheduler.collectRenewals(now);
    returns.forEach((lender, ids) -> send(host, lender, at -> at.onPermitsReturned(host.id, ids)));
    renewals.forEach((lender, ids) -> renew(host, lender, ids));
    for (PermitShortage need : host.scheduler.permitShortages(now)) {
      borrow(host, hosts.get(random.nextInt(hosts.size())).id, need);
    }
    host.run(20 * MILLI, () -> lendLoop(host));
  }

  /** The effect of a message at its receiver. */
  private interface Handler {
    void handle(PermitScheduler scheduler);
  }

  private void send(Host from, HostId to, Handler handler) {
    Host receiver = find(to);
    if (receiver == from || random.nextInt(20) == 0) {
      return;
    }
    receiver.run(networkDelay(), () -> handler.handle(receiver.scheduler));
  }

  private void renew(Host host, HostId lender, List<Long> ids) {
    if (mutation == Mutation.RETURN_PERMIT_IN_USE && random.nextInt(3) == 0) {
      send(host, lender, at -> at.onPermitsReturned(host.id, ids));
      return;
    }
    long sentAt = now;
    send(
        host,
        lender,
        at -> {
          List<LoanRenewal> answer = at.renewLoans(host.id, ids, now);
          answer(host, sentAt, counted -> answer.forEach(r -> onRenewed(host, lender, r, counted)));
        });
  }

  private static void onRenewed(Host host, HostId lender, LoanRenewal renewal, long sentAt) {
    host.scheduler.onRenewed(lender, renewal, sentAt);
  }

  private void borrow(Host host, HostId lender, PermitShortage need) {
    long sentAt = now;
    send(
        host,
        lender,
        at -> {
          List<PermitLoan> loans = at.lend(host.id, need.target(), need.wanted(), now);
          answer(host, sentAt, counted -> host.scheduler.onLoans(lender, loans, counted, now));
        });
  }

  /** The effect of an answer at its receiver, given the time from which its loans count. */
  private interface AnswerHandler {
    void handle(long countedFromNanos);
  }

  private void answer(Host receiver, long sentAt, AnswerHandler handler) {
    if (random.nextInt(20) == 0) {
      return;
    }
    receiver.run(
        networkDelay(),
        () -> {
          boolean fromArrival = mutation == Mutation.COUNT_FROM_ARRIVAL;
          if (fromArrival || now - sentAt < CLIENT_TIMEOUT + receiverPause(receiver)) {
            handler.handle(fromArrival ? now : sentAt);
          }
        });
  }

  /** A client that was itself paused still reads an answer that arrived in time. */
  private static long receiverPause(Host receiver) {
    return receiver.pausedUntil > 0 ? 4000 * MILLI : 0;
  }

  private long networkDelay() {
    return random.nextInt(30) == 0 ? jitter(2500) : jitter(10);
  }

  private Host find(HostId id) {
    return hosts.stream().filter(host -> host.id.equals(id)).findFirst().orElseThrow();
  }

  private void faultLoop(Host host) {
    if (random.nextBoolean()) {
      host.pausedUntil = now + jitter(3000);
    } else {
      restart(host);
    }
    schedule(jitter(8000), () -> faultLoop(host));
  }

  private void restart(Host host) {
    host.pausedUntil = 0;
    host.start(ImmutableSet.of());
    startLoopsAfterRestart(host);
    long wait = mutation == Mutation.USE_SHARES_WITHOUT_WAIT ? 0 : CLAIM_WAIT;
    host.run(
        wait,
        () -> {
          host.scheduler.setShares(host.shares);
          warm(host);
        });
  }

  private void startLoopsAfterRestart(Host host) {
    host.run(jitter(20), () -> lendLoop(host));
    host.run(jitter(50), () -> tickLoop(host));
    host.run(jitter(50), () -> callerLoop(host));
  }
}
