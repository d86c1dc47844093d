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
 * Gets places for the work of this host from the host that dispatches for all.
 *
 * <p>All hosts order the hosts that may dispatch alike and use the first that answers, best one
 * that follows the platform. While none answers, the host dispatches for itself with its part of
 * each limit. When the dispatching host changes, work that waits is asked for again and work that
 * runs is reported. Used by the thread of the event loop alone.
 */
public final class PlacementClient {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration REPORT = Duration.ofSeconds(1);
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final EventLoop loop;
  private final PeerAddress self;
  private final FleetView fleet;
  private final Dispatcher dispatcher;
  private final BooleanSupplier fit;
  private final LongSupplier nanoClock;
  private final EventLog log;
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private final Map<HostId, Link> links = new LinkedHashMap<>();
  private final DispatchServer server;
  private final Set<HostId> callerHosts = new HashSet<>();
  private final List<Runnable> onPeersChanged = new ArrayList<>();
  private MessageHandler messageHandler = MessageHandler.NONE;
  private Optional<HostId> current = Optional.empty();
  private boolean chosen;
  private long nextCall;

  /** Takes the messages of a link that do not concern places. */
  public interface MessageHandler {
    /** Ignores all messages. */
    MessageHandler NONE = (from, message, reply) -> {};

    /** Takes a message. */
    void received(HostId from, LinkMessage message, Reply reply);

    /** Sends an answer on the connection of the question. */
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

  /** Creates the placements of a host. */
  public PlacementClient(
      EventLoop loop,
      PeerAddress self,
      FleetView fleet,
      Dispatcher dispatcher,
      BooleanSupplier fit,
      LongSupplier nanoClock,
      EventLog log) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.fleet = checkNotNull(fleet, "fleet");
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.fit = checkNotNull(fit, "fit");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.log = checkNotNull(log, "log");
    this.server =
        new DispatchServer(loop, self, dispatcher, fit, nanoClock, this::apply, this::setPart);
  }

  /** Begins to work; a host that does not serve callers accepts links. */
  public void start() {
    if (!self.servesCallers()) {
      server.listen();
    }
    loop.scheduleAtFixedRate(this::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        this::logState, REPORT.toMillis(), REPORT.toMillis(), TimeUnit.MILLISECONDS);
    choose();
  }

  private void tick() {
    long now = nanoClock.getAsLong();
    server.closeSilent(now);
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

  /** Sets who takes the messages that do not concern places. */
  public void setMessageHandler(MessageHandler messages) {
    this.messageHandler = checkNotNull(messages, "messages");
    server.setMessageHandler(messages);
  }

  /** Runs a task whenever the hosts that answer have changed. */
  public void onPeersChanged(Runnable task) {
    onPeersChanged.add(task);
  }

  /** Replaces the hosts that the platform lists. */
  public void setPeers(Collection<PeerAddress> listed) {
    Map<HostId, PeerAddress> wanted = new HashMap<>();
    callerHosts.clear();
    for (PeerAddress peer : listed) {
      if (peer.servesCallers()) {
        callerHosts.add(peer.host());
      } else if (!peer.host().equals(self.host())) {
        wanted.put(peer.host(), peer);
      }
    }
    for (Link link : ImmutableList.copyOf(links.values())) {
      if (!link.peer().equals(wanted.get(link.peer().host()))) {
        links.remove(link.peer().host());
        link.close();
      }
    }
    for (PeerAddress peer : wanted.values()) {
      links.computeIfAbsent(peer.host(), host -> connect(peer));
    }
    choose();
  }

  /**
   * Returns the hosts other than this one that may run jobs and answer, best those that are fit.
   */
  public ImmutableList<PeerAddress> livePeers(boolean connectedOnly) {
    return links.values().stream()
        .filter(link -> connectedOnly ? link.isFit() : link.isLive())
        .map(Link::peer)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns whether places of this host are counted together with those of the hosts that serve
   * callers. Work that can wait must not be begun otherwise: it would stand before their requests.
   */
  public boolean usesSharedDispatcher() {
    if (current.isEmpty()) {
      return server.isChosen();
    }
    Link link = links.get(current.get());
    return link != null && link.isChosen();
  }

  /** Returns whether this host dispatches, for all hosts or for itself. */
  public boolean isDispatching() {
    return chosen && current.isEmpty();
  }

  /** Sends a message to a host; it is lost if the link is. */
  public void send(HostId host, LinkMessage message) {
    Link link = links.get(host);
    if (link != null) {
      link.send(message);
    }
  }

  /**
   * Asks for a place.
   *
   * @return the number by which the work is ended
   */
  public long submit(DemandSpec demand, PlacementListener listener) {
    long number = nextCall++;
    Call call = new Call(demand, listener);
    calls.put(number, call);
    submit(number, call);
    return number;
  }

  /** Ends work, whether it waits or runs. */
  public void finish(long number, PlacementResult result) {
    if (calls.remove(number) == null) {
      return;
    }
    report(number, result);
  }

  /** Looks at waiting work again after the fleet has changed. */
  public void onFleetChanged() {
    apply(dispatcher.tick(nanoClock.getAsLong()));
  }

  private Link connect(PeerAddress peer) {
    return new Link(
        loop,
        peer,
        hello(),
        fit,
        () -> current.filter(peer.host()::equals).isPresent(),
        nanoClock,
        this::choose,
        message -> heard(peer.host(), message));
  }

  private HelloMessage hello() {
    return new HelloMessage(self.host().value(), self.servesCallers(), self.startedMillis());
  }

  private DemandId localId(long number) {
    return new DemandId(self.host(), number);
  }

  private void choose() {
    List<HostId> fitHosts = new ArrayList<>();
    List<HostId> liveHosts = new ArrayList<>();
    for (Link link : links.values()) {
      if (link.isLive()) {
        liveHosts.add(link.peer().host());
      }
      if (link.isFit()) {
        fitHosts.add(link.peer().host());
      }
    }
    if (!self.servesCallers()) {
      liveHosts.add(self.host());
      if (fit.getAsBoolean()) {
        fitHosts.add(self.host());
      }
    }
    List<HostId> candidates = fitHosts.isEmpty() ? liveHosts : fitHosts;
    Optional<HostId> best =
        candidates.stream()
            .min(Comparator.comparing(HostId::value))
            .filter(host -> !host.equals(self.host()));
    if (!chosen || !best.equals(current)) {
      chosen = true;
      move(best);
    }
    setPart();
    onPeersChanged.forEach(Runnable::run);
  }

  private void move(Optional<HostId> best) {
    log.add(
        "dispatch",
        "places come from",
        "host",
        best.map(HostId::value).orElse("here"),
        "calls",
        calls.size());
    if (current.isEmpty()) {
      dispatcher.hostRestarted(self.host());
    }
    // A greeting clears what a host counts for this one: what the former one placed is reported to
    // the next, and the next may still count what it placed before.
    current.ifPresent(former -> send(former, LinkMessage.hello(hello())));
    current = best;
    best.ifPresent(next -> send(next, LinkMessage.hello(hello())));
    ImmutableList.copyOf(calls.entrySet())
        .forEach(entry -> submit(entry.getKey(), entry.getValue()));
  }

  private void setPart() {
    int all = Math.max(1, callerHosts.size());
    double part;
    if (self.servesCallers()) {
      part = 1.0 / all;
    } else {
      long connected = server.countOf(callerHosts);
      part = Math.max(1, Math.min(all, connected)) / (double) all;
    }
    dispatcher.setFraction(part);
  }

  private void submit(long number, Call call) {
    DemandSpec demand = call.demand;
    long now = nanoClock.getAsLong();
    if (current.isEmpty()) {
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
    send(current.get(), LinkMessage.demand(message));
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

  private void heard(HostId from, LinkMessage message) {
    boolean concernsPlaces =
        message.isSetPlaced() || message.isSetRefused() || message.isSetRevoked();
    if (concernsPlaces && current.filter(from::equals).isEmpty()) {
      // The work was asked for elsewhere since; two places would be two runs.
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
      // The dispatching host knows a server that this host has not heard of, or no longer lists.
      calls.remove(number);
      report(number, PlacementResult.CANCELLED);
      Call again = new Call(call.demand.excluding(id), call.listener);
      calls.put(number, again);
      submit(number, again);
      return;
    }
    call.backend = Optional.of(id);
    call.listener.placed(backend.get());
  }

  private void report(long number, PlacementResult result) {
    if (current.isPresent()) {
      send(current.get(), LinkMessage.finished(new FinishedMessage(number, result.ordinal())));
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
        applyHere(decision);
      } else {
        server.send(decision);
      }
    }
  }

  private void applyHere(Decision decision) {
    // Run later: a listener may ask again, and the dispatcher is in the middle of its decisions.
    loop.execute(
        () -> {
          if (current.isPresent()) {
            // Another host places the work by now.
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
