package org.trefoilbarrow.coordination.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.WorkSize;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;

/**
 * Replays the online load of docs/LOAD.md on a simulated clock: hosts in failure domains whose
 * callers arrive unevenly, servers with their own queues that reject what exceeds them, and callers
 * that come back once. A dispatching host places the work, or each host its own.
 */
final class LoadReplay {
  static final String SERVICE = "models";
  static final int PERIOD_MILLIS = 6000;
  static final int PEAK_START_MILLIS = 3000;

  private static final long MILLI = 1_000_000;
  private static final int QUEUE = 24;
  private static final int SLOTS = 8;
  private static final long OBJECTIVE_MILLIS = 228;
  private static final long DEADLINE_MILLIS = 5000;
  private static final double TROUGH = 0.39;
  private static final double PEAK = 1.91;
  private static final int CLIENTS = 400;
  private static final int MAX_SENDS = 4;
  private static final int TICK_MILLIS = 50;

  /** The output tokens of a request of mean size, and the slot time of one. */
  private static final int MEAN_TOKENS = 250;

  private final Load load;
  private final Events plan;
  private final boolean byOrganisation;
  private final Random random;
  private final FleetView fleet = new FleetView();
  private final Dispatcher shared;
  private final List<Dispatcher> own = new ArrayList<>();
  private final Map<BackendServerId, Server> servers = new HashMap<>();
  private final Map<DemandId, Call> calls = new LinkedHashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final int[] hostOfClient = new int[CLIENTS];
  private final List<Request> requests = new ArrayList<>();
  private long nowMillis;
  private long sequence;
  private long nextCall;
  private double hotPart;
  private boolean isShared = true;

  /**
   * The fleet and its load.
   *
   * @param perSecond the mean rate of online requests
   * @param runMillis the mean time of a request in a slot
   */
  record Load(
      int hosts, int domains, int servers, int organisations, double perSecond, long runMillis) {
    static final Load FIRST = new Load(71, 4, 42, 85, 204, 750);
    static final Load SECOND = new Load(53, 3, 62, 74, 280, 720);
  }

  /** What happens from a time, in milliseconds, until another. */
  record Window(long from, long to) {
    static final Window NEVER = new Window(0, 0);

    boolean contains(long millis) {
      return millis >= from && millis < to;
    }
  }

  /**
   * What differs from the ordinary load.
   *
   * @param hot the factor of each of the first organisations while they are hot
   * @param lost when no host reaches a dispatching host
   * @param idle when no requests arrive; all clients then send one at once
   */
  record Events(ImmutableList<Double> hot, Window hotWindow, Window lost, Window idle) {
    static final Events NONE =
        new Events(ImmutableList.of(), Window.NEVER, Window.NEVER, Window.NEVER);

    static Events loss(Window lost) {
      return new Events(ImmutableList.of(), Window.NEVER, lost, Window.NEVER);
    }

    static Events hot(Window window, Double... factors) {
      return new Events(ImmutableList.copyOf(factors), window, Window.NEVER, Window.NEVER);
    }
  }

  /** One request of a caller, with its retry. */
  static final class Request {
    final int organisation;
    final int domain;
    final long atMillis;
    final int tokens;
    int refusals;
    boolean served;
    boolean onTime;

    Request(int organisation, int domain, long atMillis, int tokens) {
      this.organisation = organisation;
      this.domain = domain;
      this.atMillis = atMillis;
      this.tokens = tokens;
    }
  }

  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private static final class Server {
    int running;
    final ArrayDeque<Call> queue = new ArrayDeque<>();
  }

  private static final class Call {
    final Request request;
    final int host;
    final Demand demand;
    final long submittedMillis;
    Optional<BackendServerId> backend = Optional.empty();

    Call(Request request, int host, Demand demand, long submittedMillis) {
      this.request = request;
      this.host = host;
      this.demand = demand;
      this.submittedMillis = submittedMillis;
    }
  }

  /**
   * Creates a replay.
   *
   * @param byOrganisation whether the demands state their organisations; without them, all are in
   *     one queue by priority and objective, as on the code before fair shares
   */
  LoadReplay(Load load, Events plan, boolean byOrganisation, long seed) {
    this.load = load;
    this.plan = plan;
    this.random = new Random(seed);
    this.byOrganisation = byOrganisation;
    for (int server = 0; server < load.servers(); server++) {
      BackendServerId id = BackendServerId.of("b" + server);
      servers.put(id, new Server());
      fleet.put(
          new BackendServer(
              id,
              SERVICE,
              "10.0.0.1",
              80,
              FailureDomainId.of("d" + server % load.domains()),
              SLOTS,
              true,
              0));
    }
    this.shared = dispatcher();
    for (int host = 0; host < load.hosts(); host++) {
      Dispatcher dispatcher = dispatcher();
      dispatcher.setScope(PlacementScope.OWN_HOST);
      dispatcher.setFraction(1.0 / load.hosts());
      own.add(dispatcher);
    }
    Arrays.setAll(hostOfClient, client -> random.nextInt(load.hosts()));
  }

  private Dispatcher dispatcher() {
    return new Dispatcher(
        fleet,
        DispatchRules.DEFAULT,
        random::nextDouble,
        new PartQuarantine(QuarantineRules.DEFAULT),
        new LeavingServers());
  }

  /** Runs the load, and returns all requests. */
  ImmutableList<Request> run(int seconds) {
    for (long at = 0; at < seconds * 1000L; at++) {
      long millis = at;
      if (millis % TICK_MILLIS == 0) {
        at(millis, this::tick);
      }
      if (!plan.idle().contains(millis)) {
        boolean all = plan.idle().contains(millis - 1);
        at(millis, () -> arrive(all ? CLIENTS : drawArrivals(millis)));
      }
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.at();
      event.action().run();
    }
    return ImmutableList.copyOf(requests);
  }

  private int drawArrivals(long millis) {
    double usual = load.perSecond() / 1000 * (isPeak(millis) ? PEAK : TROUGH);
    double hot = 0;
    for (int index = 0; plan.hotWindow().contains(millis) && index < plan.hot().size(); index++) {
      hot += share(index) * (plan.hot().get(index) - 1) * load.perSecond() / 1000;
    }
    hotPart = hot / (usual + hot);
    int count = (int) (usual + hot);
    return count + (random.nextDouble() < usual + hot - count ? 1 : 0);
  }

  static boolean isPeak(long millis) {
    return millis % PERIOD_MILLIS >= PEAK_START_MILLIS;
  }

  /** A few organisations are large: the first has 12 in 100 of the load. */
  private double share(int organisation) {
    double sum = 0;
    for (int index = 0; index < load.organisations(); index++) {
      sum += 1.0 / (index + 2);
    }
    return 1.0 / (organisation + 2) / sum;
  }

  private int drawOrganisation() {
    if (random.nextDouble() < hotPart) {
      return random.nextInt(plan.hot().size());
    }
    double left = random.nextDouble();
    for (int index = 0; index < load.organisations(); index++) {
      left -= share(index);
      if (left <= 0) {
        return index;
      }
    }
    return load.organisations() - 1;
  }

  /** A few clients send much: a quarter of them half of all requests. */
  private int drawClient() {
    double drawn = random.nextDouble();
    return (int) (CLIENTS * drawn * drawn);
  }

  private void arrive(int count) {
    for (int index = 0; index < count; index++) {
      int host = hostOfClient[drawClient()];
      int tokens = (int) (MEAN_TOKENS * Math.max(0.1, -Math.log(random.nextDouble())));
      Request request = new Request(drawOrganisation(), host % load.domains(), nowMillis, tokens);
      requests.add(request);
      submit(request, host, 0, ImmutableSet.of(), nowMillis);
    }
  }

  private void submit(
      Request request, int host, int sends, Set<BackendServerId> excluded, long startMillis) {
    Demand demand =
        new Demand(
            new DemandId(HostId.of("h" + host), nextCall++),
            SERVICE,
            byOrganisation
                ? Optional.of(OrganisationId.of("o" + request.organisation))
                : Optional.empty(),
            0,
            false,
            (startMillis + OBJECTIVE_MILLIS) * MILLI,
            (request.atMillis + DEADLINE_MILLIS) * MILLI,
            request.refusals > 0 || sends > 0,
            excluded,
            ImmutableList.of(),
            new WorkProfile(
                "r",
                Optional.of(FailureDomainId.of("d" + request.domain)),
                new WorkSize(MEAN_TOKENS, request.tokens),
                0,
                ImmutableList.of()));
    Call call = new Call(request, host, demand, startMillis);
    calls.put(demand.id(), call);
    apply(dispatcherOf(call).submit(demand, nowMillis * MILLI));
  }

  private Dispatcher dispatcherOf(Call call) {
    return isShared ? shared : own.get(call.host);
  }

  private void tick() {
    boolean nextShared = !plan.lost().contains(nowMillis);
    if (nextShared != isShared) {
      changeDispatchers(nextShared);
    }
    if (isShared) {
      apply(shared.tick(nowMillis * MILLI));
    } else {
      own.forEach(dispatcher -> apply(dispatcher.tick(nowMillis * MILLI)));
    }
  }

  /** Moves all calls, as the placement clients of the hosts do. */
  private void changeDispatchers(boolean nextShared) {
    for (int host = 0; host < load.hosts(); host++) {
      (isShared ? shared : own.get(host)).hostRestarted(HostId.of("h" + host));
    }
    isShared = nextShared;
    for (Call call : ImmutableList.copyOf(calls.values())) {
      if (call.backend.isPresent()) {
        dispatcherOf(call).registerRunning(call.demand, call.backend.get(), nowMillis * MILLI);
      } else {
        apply(dispatcherOf(call).submit(call.demand, nowMillis * MILLI));
      }
    }
  }

  private void at(long millis, Runnable action) {
    events.add(new Event(millis, sequence++, action));
  }

  private void apply(List<Decision> decisions) {
    for (Decision decision : decisions) {
      Call call = calls.get(decision.demand());
      if (decision instanceof Decision.Placed placed) {
        call.backend = Optional.of(placed.backend());
        at(nowMillis, () -> send(call));
      } else if (decision instanceof Decision.Refused refused) {
        calls.remove(decision.demand());
        refuse(call, refused.retryAfterMillis());
      }
    }
  }

  private void refuse(Call call, long retryAfterMillis) {
    Request request = call.request;
    request.refusals++;
    long leftMillis = request.atMillis + DEADLINE_MILLIS - nowMillis;
    if (request.refusals == 1 && retryAfterMillis <= leftMillis / 3) {
      long again = nowMillis + retryAfterMillis;
      at(again, () -> submit(request, call.host, 0, ImmutableSet.of(), again));
    }
  }

  private void send(Call call) {
    Server server = servers.get(call.backend.orElseThrow());
    if (server.running < SLOTS) {
      begin(call, server);
    } else if (server.queue.size() < QUEUE) {
      server.queue.add(call);
    } else {
      Set<BackendServerId> excluded = new HashSet<>(call.demand.excluded());
      excluded.add(call.backend.get());
      finish(call, PlacementResult.NOT_RUN);
      if (excluded.size() < MAX_SENDS) {
        submit(call.request, call.host, excluded.size(), excluded, call.submittedMillis);
      } else {
        refuse(call, OBJECTIVE_MILLIS);
      }
    }
  }

  private void begin(Call call, Server server) {
    server.running++;
    call.request.served = nowMillis <= call.request.atMillis + DEADLINE_MILLIS;
    call.request.onTime = nowMillis <= call.submittedMillis + OBJECTIVE_MILLIS;
    long runMillis = load.runMillis() * call.request.tokens / MEAN_TOKENS;
    at(nowMillis + runMillis, () -> end(call, server));
  }

  private void end(Call call, Server server) {
    server.running--;
    if (!server.queue.isEmpty()) {
      begin(server.queue.poll(), server);
    }
    finish(call, PlacementResult.ANSWERED);
  }

  private void finish(Call call, PlacementResult result) {
    calls.remove(call.demand.id());
    apply(
        dispatcherOf(call)
            .finished(
                call.demand.id(),
                result,
                RunReport.of(result == PlacementResult.ANSWERED),
                nowMillis * MILLI));
  }
}
