package org.trefoilbarrow.coordination.election;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.trefoilbarrow.coordination.dispatch.Decision;
import org.trefoilbarrow.coordination.dispatch.Demand;
import org.trefoilbarrow.coordination.dispatch.DemandId;
import org.trefoilbarrow.coordination.dispatch.DispatchRules;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.PlacementScope;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.coordination.dispatch.SlotShare;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;

/**
 * One process of a host in {@link FleetSimulation}: the election and the dispatcher are the real
 * ones; links and calls are simulated.
 */
final class SimulatedHost {
  private static final long MILLI = 1_000_000;
  private static final long TICK_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 150;
  private static final long HEARTBEAT_TIMEOUT_MILLIS = 500;
  private static final long RUN_MILLIS = 700;
  private static final long WAIT_MILLIS = 60_000;

  final HostId id;
  final boolean servesCallers;
  final DispatchElection election;
  private final FleetSimulation fleet;
  private final Dispatcher dispatcher;
  private final FleetView view = new FleetView();
  private final Random random;
  private final Map<HostId, Long> lastPeerHeartbeats = new HashMap<>();
  private final Map<HostId, Long> lastClientHeartbeats = new HashMap<>();
  private final Set<HostId> followers = new HashSet<>();
  private final Map<Long, Call> calls = new HashMap<>();
  private Optional<HostId> followed = Optional.empty();
  private long followedTerm;
  private long followedSinceMillis;
  private boolean claiming;
  private boolean ended;
  private long pausedUntilMillis;
  private long nextCall;

  /** A call of this host; it runs if it has a backend server. */
  private static final class Call {
    Optional<BackendServerId> backend = Optional.empty();
  }

  SimulatedHost(
      FleetSimulation fleet, HostId id, boolean servesCallers, long startedMillis, Random random) {
    this.fleet = fleet;
    this.id = id;
    this.servesCallers = servesCallers;
    this.random = random;
    this.election = new DispatchElection(id, startedMillis, ElectionRules.DEFAULT);
    election.setOtherHostCount(fleet.hostCount() - 1);
    fleet.backends().forEach(view::put);
    this.dispatcher =
        new Dispatcher(
            view,
            DispatchRules.DEFAULT,
            random::nextDouble,
            new PartQuarantine(QuarantineRules.DEFAULT),
            new LeavingServers());
    fleet.queue().after(random.nextLong(TICK_MILLIS), this::tick);
    fleet.queue().after(random.nextLong(HEARTBEAT_MILLIS), this::sendHeartbeats);
  }

  /** Ends the process; its calls end with their connections. */
  void end() {
    ended = true;
    calls.clear();
  }

  void pause(long millis) {
    pausedUntilMillis = now() + millis;
  }

  boolean isActive() {
    return !ended && now() >= pausedUntilMillis;
  }

  boolean hasEnded() {
    return ended;
  }

  /** Returns whether a host follows this one by its last heartbeat, or is this one. */
  boolean hasReportOf(SimulatedHost host) {
    return host == this || followers.contains(host.id);
  }

  Optional<HostId> followed() {
    return followed;
  }

  long followedTerm() {
    return followedTerm;
  }

  int waitingCount() {
    return (int) calls.values().stream().filter(call -> call.backend.isEmpty()).count();
  }

  /** Returns how many calls of this host run at a backend server. */
  int countRunningAt(BackendServerId backend) {
    return (int)
        calls.values().stream()
            .filter(call -> call.backend.filter(backend::equals).isPresent())
            .count();
  }

  /** Adds a call that needs a slot. */
  void submitCall() {
    if (isActive()) {
      long number = nextCall++;
      calls.put(number, new Call());
      submit(number);
    }
  }

  private long now() {
    return fleet.queue().nowMillis();
  }

  private long nowNanos() {
    return now() * MILLI;
  }

  private boolean isHolderNow() {
    return followed.filter(id::equals).isPresent();
  }

  private void tick() {
    if (ended) {
      return;
    }
    if (isActive()) {
      lastPeerHeartbeats.entrySet().removeIf(entry -> isTimedOut(entry, true));
      lastClientHeartbeats.entrySet().removeIf(entry -> isTimedOut(entry, false));
      election.update(!servesCallers, fleet.store().answers(id), nowNanos());
      if (!claiming && election.mustClaim(nowNanos())) {
        claim();
      }
      follow();
      updateShares();
      apply(dispatcher.tick(nowNanos()));
    }
    fleet.queue().after(TICK_MILLIS, this::tick);
  }

  private boolean isTimedOut(Map.Entry<HostId, Long> lastHeartbeat, boolean isPeer) {
    if (now() - lastHeartbeat.getValue() <= HEARTBEAT_TIMEOUT_MILLIS) {
      return false;
    }
    if (isPeer) {
      election.lose(lastHeartbeat.getKey());
    } else {
      loseClient(lastHeartbeat.getKey());
    }
    return true;
  }

  private void claim() {
    claiming = true;
    DispatchTerm next = election.nextTerm();
    fleet
        .store()
        .claim(
            id,
            next,
            result -> {
              claiming = false;
              result.ifPresent(term -> election.learn(term, nowNanos()));
              if (!result.equals(Optional.of(next))) {
                election.attemptFailed(nowNanos());
              }
            });
  }

  private void sendHeartbeats() {
    if (ended) {
      return;
    }
    if (isActive()) {
      for (SimulatedHost peer : fleet.candidates()) {
        if (peer != this) {
          TermReport report = election.ownReport();
          boolean follows = followed.filter(peer.id::equals).isPresent();
          fleet.send(this, peer, () -> peer.receiveHeartbeat(this, report, follows));
        }
      }
    }
    fleet.queue().after(HEARTBEAT_MILLIS, this::sendHeartbeats);
  }

  private void receiveHeartbeat(SimulatedHost client, TermReport report, boolean follows) {
    lastClientHeartbeats.put(client.id, now());
    if (client.servesCallers) {
      election.report(client.id, report, nowNanos());
    }
    if (follows) {
      followers.add(client.id);
    } else {
      followers.remove(client.id);
    }
    TermReport own = election.ownReport();
    fleet.send(this, client, () -> client.receiveAnswer(this, own));
  }

  private void receiveAnswer(SimulatedHost peer, TermReport report) {
    lastPeerHeartbeats.put(peer.id, now());
    election.report(peer.id, report, nowNanos());
    follow();
  }

  private void follow() {
    Optional<DispatchTerm> nextTerm = election.followed(nowNanos());
    Optional<HostId> next = nextTerm.map(DispatchTerm::holder);
    long term = nextTerm.map(DispatchTerm::number).orElse(0L);
    if (next.equals(followed) && term == followedTerm) {
      return;
    }
    final boolean wasHolder = isHolderNow();
    Optional<HostId> previous = followed.filter(host -> !host.equals(id));
    if (previous.isPresent()) {
      sendHello(previous.get());
    } else {
      dispatcher.hostRestarted(id);
    }
    followed = next;
    followedTerm = term;
    followedSinceMillis = now();
    if (wasHolder && !isHolderNow()) {
      lastClientHeartbeats.keySet().forEach(dispatcher::hostRestarted);
    }
    if (next.isPresent() && !isHolderNow()) {
      sendHello(next.get());
    }
    updateShares();
    ImmutableList.copyOf(calls.keySet()).forEach(this::submit);
  }

  private void sendHello(HostId to) {
    SimulatedHost peer = fleet.host(to);
    fleet.send(this, peer, () -> peer.dispatcher.hostRestarted(id));
  }

  private void updateShares() {
    if (isHolderNow()) {
      dispatcher.setScope(PlacementScope.ALL_HOSTS);
      dispatcher.setSlotShare(
          SlotShare.ofDispatchingHost(
              followers.size(),
              fleet.hostCount() - 1,
              now() - followedSinceMillis >= ElectionRules.DEFAULT.reportWindow().toMillis()));
    } else if (followed.isEmpty()) {
      dispatcher.setScope(PlacementScope.OWN_HOST);
      dispatcher.setSlotShare(servesCallers ? SlotShare.ALL : SlotShare.NONE);
    }
  }

  /** The connection from this host to a peer that can dispatch was lost. */
  void loseConnectionTo(SimulatedHost peer) {
    lastPeerHeartbeats.remove(peer.id);
    election.lose(peer.id);
    follow();
  }

  /** The connection of a client to this host was lost. */
  void loseConnectionOf(SimulatedHost client) {
    lastClientHeartbeats.remove(client.id);
    loseClient(client.id);
  }

  private void loseClient(HostId client) {
    followers.remove(client);
    dispatcher.hostLost(client, nowNanos());
    if (fleet.host(client).servesCallers) {
      election.lose(client);
    }
  }

  private void submit(long number) {
    Call call = calls.get(number);
    Demand demand = demand(number);
    if (followed.isEmpty() || isHolderNow()) {
      if (call.backend.isPresent()) {
        dispatcher.registerRunning(demand, call.backend.get(), nowNanos());
      } else {
        apply(dispatcher.submit(demand, nowNanos()));
      }
      return;
    }
    SimulatedHost holder = fleet.host(followed.get());
    Optional<BackendServerId> runningOn = call.backend;
    fleet.send(this, holder, () -> holder.serve(demand, runningOn));
  }

  private void serve(Demand demand, Optional<BackendServerId> runningOn) {
    if (!election.isHolder()) {
      return;
    }
    if (runningOn.isPresent()) {
      dispatcher.registerRunning(demand, runningOn.get(), nowNanos());
    } else {
      apply(dispatcher.submit(demand, nowNanos()));
    }
  }

  private Demand demand(long number) {
    return new Demand(
        new DemandId(id, number),
        FleetSimulation.SERVICE,
        Optional.empty(),
        0,
        false,
        nowNanos() + WAIT_MILLIS * MILLI,
        nowNanos() + WAIT_MILLIS * MILLI,
        true,
        ImmutableSet.of());
  }

  private void apply(ImmutableList<Decision> decisions) {
    for (Decision decision : decisions) {
      if (!(decision instanceof Decision.Placed placed)) {
        continue;
      }
      HostId host = placed.demand().host();
      long term = followedTerm;
      if (host.equals(id)) {
        placed(placed);
      } else {
        SimulatedHost client = fleet.host(host);
        fleet.send(this, client, () -> client.placedBy(id, term, placed));
      }
    }
  }

  private void placedBy(HostId from, long term, Decision.Placed placed) {
    if (followed.filter(from::equals).isPresent() && followedTerm == term) {
      placed(placed);
    }
  }

  private void placed(Decision.Placed placed) {
    long number = placed.demand().call();
    Call call = calls.get(number);
    if (call == null || call.backend.isPresent()) {
      return;
    }
    BackendServer backend = view.backend(placed.backend()).orElseThrow();
    call.backend = Optional.of(backend.id());
    fleet.checkSlots(backend);
    fleet.queue().after(RUN_MILLIS / 2 + random.nextLong(RUN_MILLIS), () -> finish(number));
  }

  private void finish(long number) {
    if (ended || calls.remove(number) == null) {
      return;
    }
    if (followed.isEmpty() || isHolderNow()) {
      apply(
          dispatcher.finished(
              new DemandId(id, number), PlacementResult.ANSWERED, RunReport.of(false), nowNanos()));
    } else {
      SimulatedHost holder = fleet.host(followed.get());
      fleet.send(
          this,
          holder,
          () ->
              holder.apply(
                  holder.dispatcher.finished(
                      new DemandId(id, number),
                      PlacementResult.ANSWERED,
                      RunReport.of(false),
                      holder.nowNanos())));
    }
  }
}
