package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.dispatch.Decision;
import org.trefoilbarrow.coordination.dispatch.Demand;
import org.trefoilbarrow.coordination.dispatch.DemandId;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.link.generated.DemandMessage;
import org.trefoilbarrow.transport.link.generated.FinishedMessage;
import org.trefoilbarrow.transport.link.generated.HelloMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.RefusedMessage;

/**
 * Requests slots at backend servers for the work of this host from the dispatching host.
 *
 * <p>All hosts choose the same dispatching host: the first, in the order of their names, of the
 * live hosts that can dispatch, preferring those connected to the platform. While none is live, the
 * host dispatches for itself with its fraction of each limit. When the dispatching host changes,
 * waiting demands are submitted to the new one and running work is reported to it. Used only on the
 * event loop's thread.
 */
public final class PlacementClient {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration STATE_LOG_INTERVAL = Duration.ofSeconds(1);
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final EventLoop loop;
  private final PeerAddress self;
  private final FleetView fleet;
  private final Dispatcher dispatcher;
  private final BooleanSupplier connectedToPlatform;
  private final LongSupplier nanoClock;
  private final EventLog log;
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private final Map<HostId, Link> links = new LinkedHashMap<>();
  private final DispatchServer server;
  private final Set<HostId> callerHosts = new HashSet<>();
  private final List<Runnable> onPeersChanged = new ArrayList<>();
  private MessageHandler messageHandler = MessageHandler.NONE;
  private Optional<HostId> dispatchingHost = Optional.empty();
  private boolean hasChosen;
  private long nextCall;

  /** Handles the messages of a link that do not concern placements. */
  public interface MessageHandler {
    /** Ignores all messages. */
    MessageHandler NONE = (from, message, reply) -> {};

    /** Called for each such message. */
    void received(HostId from, LinkMessage message, Reply reply);

    /** Sends answers on the connection of the message that is handled. */
    @FunctionalInterface
    interface Reply {
      /** Sends a message. */
      void send(LinkMessage message);
    }
  }

  private static final class Call {
    final DemandSpec demand;
    final PlacementListener listener;
    Optional<BackendServerId> backend = Optional.empty();

    Call(DemandSpec demand, PlacementListener listener) {
      this.demand = demand;
      this.listener = listener;
    }
  }

  /** Creates a client that has no peers yet. */
  public PlacementClient(
      EventLoop loop,
      PeerAddress self,
      FleetView fleet,
      Dispatcher dispatcher,
      BooleanSupplier connectedToPlatform,
      LongSupplier nanoClock,
      EventLog log) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.fleet = checkNotNull(fleet, "fleet");
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.connectedToPlatform = checkNotNull(connectedToPlatform, "connectedToPlatform");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.log = checkNotNull(log, "log");
    this.server =
        new DispatchServer(
            loop,
            self,
            dispatcher,
            connectedToPlatform,
            nanoClock,
            this::apply,
            this::updateFraction);
  }

  /** Starts the client; a host that does not serve callers also starts to accept links. */
  public void start() {
    if (!self.servesCallers()) {
      server.listen();
    }
    loop.scheduleAtFixedRate(
        this::tick, TICK_INTERVAL.toMillis(), TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        this::logState,
        STATE_LOG_INTERVAL.toMillis(),
        STATE_LOG_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
    chooseDispatchingHost();
  }

  private void tick() {
    long now = nanoClock.getAsLong();
    server.closeTimedOut(now);
    apply(dispatcher.tick(now));
  }

  private void logState() {
    if (dispatcher.waitingCount() + dispatcher.runningCount() > 0) {
      log.add(
          "dispatch",
          "state",
          "waiting",
          dispatcher.waitingCount(),
          "running",
          dispatcher.runningCount(),
          "hosts",
          server.clientCount(),
          "detail",
          dispatcher.describe());
    }
  }

  /** Sets the handler of the messages that do not concern placements. */
  public void setMessageHandler(MessageHandler handler) {
    this.messageHandler = checkNotNull(handler, "handler");
    server.setMessageHandler(handler);
  }

  /** Runs a task whenever the live peers may have changed. */
  public void onPeersChanged(Runnable task) {
    onPeersChanged.add(task);
  }

  /** Replaces the hosts that are registered at the platform. */
  public void setPeers(Collection<PeerAddress> registeredHosts) {
    Map<HostId, PeerAddress> dispatchPeers = new HashMap<>();
    callerHosts.clear();
    for (PeerAddress peer : registeredHosts) {
      if (peer.servesCallers()) {
        callerHosts.add(peer.host());
      } else if (!peer.host().equals(self.host())) {
        dispatchPeers.put(peer.host(), peer);
      }
    }
    for (Link link : ImmutableList.copyOf(links.values())) {
      if (!link.peer().equals(dispatchPeers.get(link.peer().host()))) {
        links.remove(link.peer().host());
        link.close();
      }
    }
    for (PeerAddress peer : dispatchPeers.values()) {
      links.computeIfAbsent(peer.host(), host -> connect(peer));
    }
    chooseDispatchingHost();
  }

  /**
   * Returns the live peers that dispatch and run jobs.
   *
   * @param connectedOnly whether to return only those that are connected to the platform
   */
  public ImmutableList<PeerAddress> livePeers(boolean connectedOnly) {
    return links.values().stream()
        .filter(link -> connectedOnly ? link.isConnectedToPlatform() : link.isLive())
        .map(Link::peer)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns whether this host gets its slots from the dispatching host of the hosts that serve
   * callers. Work that can wait must not be started otherwise, since it would take slots before
   * their requests.
   */
  public boolean usesSharedDispatcher() {
    if (dispatchingHost.isEmpty()) {
      return server.isChosenDispatcher();
    }
    Link link = links.get(dispatchingHost.get());
    return link != null && link.isChosenDispatcher();
  }

  /** Returns whether this host dispatches, for all hosts or for itself only. */
  public boolean isDispatching() {
    return hasChosen && dispatchingHost.isEmpty();
  }

  /** Sends a message to a peer; it is dropped while the peer is not connected. */
  public void send(HostId host, LinkMessage message) {
    Link link = links.get(host);
    if (link != null) {
      link.send(message);
    }
  }

  /**
   * Submits a demand for a slot; the listener receives the decisions on it.
   *
   * @return the number to pass to {@link #finish}
   */
  public long submit(DemandSpec demand, PlacementListener listener) {
    long number = nextCall++;
    Call call = new Call(demand, listener);
    calls.put(number, call);
    submitToDispatchingHost(number, call);
    return number;
  }

  /** Ends a demand, whether it waits or runs. */
  public void finish(long number, PlacementResult result) {
    if (calls.remove(number) == null) {
      return;
    }
    report(number, result);
  }

  /** Assigns free slots to waiting demands after the fleet has changed. */
  public void onFleetChanged() {
    apply(dispatcher.tick(nanoClock.getAsLong()));
  }

  private Link connect(PeerAddress peer) {
    return new Link(
        loop,
        peer,
        hello(),
        connectedToPlatform,
        () -> dispatchingHost.filter(peer.host()::equals).isPresent(),
        nanoClock,
        this::chooseDispatchingHost,
        message -> receive(peer.host(), message));
  }

  private HelloMessage hello() {
    return new HelloMessage(self.host().value(), self.servesCallers(), self.startedMillis());
  }

  private DemandId localId(long number) {
    return new DemandId(self.host(), number);
  }

  private void chooseDispatchingHost() {
    List<HostId> connectedHosts = new ArrayList<>();
    List<HostId> liveHosts = new ArrayList<>();
    for (Link link : links.values()) {
      if (link.isLive()) {
        liveHosts.add(link.peer().host());
      }
      if (link.isConnectedToPlatform()) {
        connectedHosts.add(link.peer().host());
      }
    }
    if (!self.servesCallers()) {
      liveHosts.add(self.host());
      if (connectedToPlatform.getAsBoolean()) {
        connectedHosts.add(self.host());
      }
    }
    List<HostId> candidates = connectedHosts.isEmpty() ? liveHosts : connectedHosts;
    Optional<HostId> chosenHost =
        candidates.stream()
            .min(Comparator.comparing(HostId::value))
            .filter(host -> !host.equals(self.host()));
    if (!hasChosen || !chosenHost.equals(dispatchingHost)) {
      hasChosen = true;
      switchTo(chosenHost);
    }
    updateFraction();
    onPeersChanged.forEach(Runnable::run);
  }

  private void switchTo(Optional<HostId> chosenHost) {
    log.add(
        "dispatch",
        "places come from",
        "host",
        chosenHost.map(HostId::value).orElse("here"),
        "calls",
        calls.size());
    if (dispatchingHost.isEmpty()) {
      dispatcher.hostRestarted(self.host());
    }
    // A hello makes the receiver drop the demands that it holds for this host. The previous host's
    // placements are reported to the next one, which may still hold some from an earlier time.
    dispatchingHost.ifPresent(previous -> send(previous, LinkMessage.hello(hello())));
    dispatchingHost = chosenHost;
    chosenHost.ifPresent(next -> send(next, LinkMessage.hello(hello())));
    ImmutableList.copyOf(calls.entrySet())
        .forEach(entry -> submitToDispatchingHost(entry.getKey(), entry.getValue()));
  }

  private void updateFraction() {
    int callerHostCount = Math.max(1, callerHosts.size());
    double fraction;
    if (self.servesCallers()) {
      fraction = 1.0 / callerHostCount;
    } else {
      long linkedCallerHosts = server.countConnected(callerHosts);
      fraction =
          Math.max(1, Math.min(callerHostCount, linkedCallerHosts)) / (double) callerHostCount;
    }
    dispatcher.setFraction(fraction);
  }

  private void submitToDispatchingHost(long number, Call call) {
    DemandSpec demand = call.demand;
    long now = nanoClock.getAsLong();
    if (dispatchingHost.isEmpty()) {
      Demand local = toDemand(localId(number), demand);
      if (call.backend.isPresent()) {
        dispatcher.registerRunning(local, call.backend.get(), now);
      } else {
        apply(dispatcher.submit(local, now));
      }
      return;
    }
    DemandMessage message =
        new DemandMessage(
            number,
            demand.service(),
            demand.priority(),
            demand.batch(),
            (demand.objectiveNanos() - now) / NANOS_IN_MILLI,
            (demand.deadlineNanos() - now) / NANOS_IN_MILLI,
            0,
            demand.repeated(),
            demand.request());
    demand.organisation().ifPresent(id -> message.setOrganisation(id.value()));
    if (!demand.excluded().isEmpty()) {
      message.setExcluded(demand.excluded().stream().map(BackendServerId::value).toList());
    }
    call.backend.ifPresent(backend -> message.setRunningOn(backend.value()));
    send(dispatchingHost.get(), LinkMessage.demand(message));
  }

  private static Demand toDemand(DemandId id, DemandSpec demand) {
    return new Demand(
        id,
        demand.service(),
        demand.organisation(),
        demand.priority(),
        demand.batch(),
        demand.objectiveNanos(),
        demand.deadlineNanos(),
        demand.repeated(),
        demand.excluded());
  }

  private void receive(HostId from, LinkMessage message) {
    boolean isDecision = message.isSetPlaced() || message.isSetRefused() || message.isSetRevoked();
    if (isDecision && dispatchingHost.filter(from::equals).isEmpty()) {
      // The demand was submitted to another host since; two placements would be two runs.
      return;
    }
    if (message.isSetPlaced()) {
      placed(message.getPlaced().getCall(), BackendServerId.of(message.getPlaced().getBackend()));
    } else if (message.isSetRefused()) {
      RefusedMessage refused = message.getRefused();
      refused(
          refused.getCall(),
          RefusalReason.values()[refused.getReason()],
          refused.getRetryAfterMillis());
    } else if (message.isSetRevoked()) {
      revoked(message.getRevoked().getCall());
    } else {
      messageHandler.received(from, message, answer -> {});
    }
  }

  private void placed(long number, BackendServerId id) {
    Call call = calls.get(number);
    if (call == null || call.backend.isPresent()) {
      return;
    }
    Optional<BackendServer> backend = fleet.backend(id);
    if (backend.isEmpty()) {
      // The backend server is not in the fleet state of this host: not yet, or no longer.
      calls.remove(number);
      report(number, PlacementResult.CANCELLED);
      Call retry = new Call(call.demand.excluding(id), call.listener);
      calls.put(number, retry);
      submitToDispatchingHost(number, retry);
      return;
    }
    call.backend = Optional.of(id);
    call.listener.placed(backend.get());
  }

  private void report(long number, PlacementResult result) {
    if (dispatchingHost.isPresent()) {
      send(
          dispatchingHost.get(),
          LinkMessage.finished(new FinishedMessage(number, result.ordinal())));
    } else {
      apply(dispatcher.finished(localId(number), result, nanoClock.getAsLong()));
    }
  }

  private void refused(long number, RefusalReason reason, long retryAfterMillis) {
    Call call = calls.remove(number);
    if (call != null) {
      call.listener.refused(reason, retryAfterMillis);
    }
  }

  private void revoked(long number) {
    Call call = calls.get(number);
    if (call != null) {
      call.listener.revoked();
    }
  }

  private void apply(ImmutableList<Decision> decisions) {
    for (Decision decision : decisions) {
      DemandId id = decision.demand();
      if (id.host().equals(self.host())) {
        applyLocally(decision);
      } else {
        server.send(decision);
      }
    }
  }

  private void applyLocally(Decision decision) {
    // Run later, since a listener may submit again while the dispatcher still makes its decisions.
    loop.execute(
        () -> {
          if (dispatchingHost.isPresent()) {
            // Another host dispatches by now; it has the demand.
            return;
          }
          if (decision instanceof Decision.Placed placed) {
            placed(placed.demand().call(), placed.backend());
          } else if (decision instanceof Decision.Refused refused) {
            refused(refused.demand().call(), refused.reason(), refused.retryAfterMillis());
          } else {
            revoked(decision.demand().call());
          }
        });
  }
}
