package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.dispatch.Decision;
import org.trefoilbarrow.coordination.dispatch.Demand;
import org.trefoilbarrow.coordination.dispatch.DemandId;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.coordination.election.DispatchElection;
import org.trefoilbarrow.coordination.election.ElectionRules;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineChange;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.coordination.quarantine.ServerEnd;
import org.trefoilbarrow.coordination.quarantine.SoundParts;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.link.generated.BackendLeavingMessage;
import org.trefoilbarrow.transport.link.generated.DemandMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.PulseMessage;
import org.trefoilbarrow.transport.link.generated.RefusedMessage;

/**
 * Requests slots at backend servers for the work of this host from the dispatching host.
 *
 * <p>The dispatching host is the holder of the newest term that this host knows, while this host
 * reaches it; see {@link DispatchElection}. While it reaches none, the host dispatches for itself,
 * with its part of each limit, and takes the rejections of backend servers as backpressure. When
 * the dispatching host changes, waiting demands are submitted to the new one and running work is
 * reported to it. Used only on the event loop's thread.
 */
public final class PlacementClient {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  /**
   * How long a quarantine holds that this host knows only from the refusal of a demand. Short,
   * since nothing takes it back if the dispatching host clears the part; the platform tells the
   * others well before.
   */
  private static final Duration MAX_REFUSAL_VALIDITY = Duration.ofSeconds(2);

  private static final Duration STATE_LOG_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final PeerAddress self;
  private final FleetView fleet;
  private final Dispatcher dispatcher;
  private final PartQuarantine quarantine;
  private final DispatchElection election;
  private final TermClaimer claimer;
  private final Heartbeats heartbeats;
  private final LongSupplier nanoClock;
  private final EventLog log;
  private final RefusalLog refusalLog;
  private final Map<Long, Call> calls = new LinkedHashMap<>();
  private final HostLinks links;
  private final DispatchServer server;
  private final SlotShares shares;
  private final List<Runnable> onPeersChanged = new ArrayList<>();
  private final ServerEndReports serverEnds = new ServerEndReports();
  private final LeavingServerReports leavingServers;
  private final SoundParts soundParts = new SoundParts(QuarantineRules.DEFAULT.maxSoundParts());
  private QuarantineListener quarantineListener = change -> {};
  private MessageHandler messageHandler = MessageHandler.NONE;
  private DispatchingHost dispatchingHost = DispatchingHost.NONE;
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

  /**
   * Creates a client that has no peers yet.
   *
   * @param quarantine the prompt parts that keep work from all backend servers, as {@code
   *     dispatcher} uses it
   * @param leaving the backend servers that are leaving, as {@code dispatcher} uses it
   * @param revisions the changes of collections that hosts tell each other of
   * @param canDispatch whether this host accepts the work of others and knows the backend servers
   */
  public PlacementClient(
      EventLoop loop,
      PeerAddress self,
      FleetView fleet,
      Dispatcher dispatcher,
      PartQuarantine quarantine,
      LeavingServers leaving,
      TermStore terms,
      CollectionRevisions revisions,
      BooleanSupplier canDispatch,
      BooleanSupplier connectedToPlatform,
      LongSupplier nanoClock,
      EventLog log) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.fleet = checkNotNull(fleet, "fleet");
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.quarantine = checkNotNull(quarantine, "quarantine");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.log = checkNotNull(log, "log");
    this.leavingServers = new LeavingServerReports(self.host(), leaving, log);
    this.refusalLog = new RefusalLog(log);
    this.election = new DispatchElection(self.host(), self.startedMillis(), ElectionRules.DEFAULT);
    this.claimer =
        new TermClaimer(election, terms, canDispatch, connectedToPlatform, nanoClock, log);
    this.heartbeats = new Heartbeats(election, revisions, connectedToPlatform);
    this.links =
        new HostLinks(
            loop,
            self,
            peer -> heartbeats.requests(() -> isDispatchedBy(peer)),
            nanoClock,
            new LinkListener());
    this.server =
        new DispatchServer(
            loop,
            self,
            dispatcher,
            quarantine,
            election,
            heartbeats,
            nanoClock,
            this::apply,
            this::receiveLeaving,
            this::updateShares);
    this.shares = new SlotShares(self, dispatcher, server);
  }

  /** Starts the client; a host that does not serve callers also starts to accept links. */
  public void start() {
    if (!self.servesCallers()) {
      server.listen();
      claimer.start();
    }
    loop.scheduleAtFixedRate(
        this::tick, TICK_INTERVAL.toMillis(), TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        this::logState,
        STATE_LOG_INTERVAL.toMillis(),
        STATE_LOG_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
    followElection();
  }

  /**
   * Gives up the term, if this host holds it; the other hosts get their slots here until one of
   * them takes over.
   */
  public void leave() {
    election.leave();
    server.announce();
  }

  private void tick() {
    long now = nanoClock.getAsLong();
    server.closeTimedOut(now);
    claimer.tick(now);
    followElection();
    if (dispatchingHost.isSelf()) {
      updateShares();
    }
    decideQuarantines(now);
    leavingServers.removeEnded(fleet, now);
    apply(dispatcher.tick(now));
  }

  private void decideQuarantines(long now) {
    ImmutableList<QuarantineChange> changes = quarantine.decide(now);
    changes.forEach(quarantineListener::changed);
    if (!changes.isEmpty()) {
      apply(dispatcher.refuseQuarantined(now));
    }
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
          dispatcher.describe(nanoClock.getAsLong()));
    }
  }

  /** Sets the handler of the messages that do not concern placements. */
  public void setMessageHandler(MessageHandler handler) {
    this.messageHandler = checkNotNull(handler, "handler");
    server.setMessageHandler(handler);
  }

  /** Sets the receiver of the quarantines that this host decides on. */
  public void setQuarantineListener(QuarantineListener listener) {
    this.quarantineListener = checkNotNull(listener, "listener");
  }

  /**
   * Reports the end of a backend server to the dispatching host, and to each next one.
   *
   * @param parts the shared prompt parts of a request that had been sent there and whose response
   *     had not begun
   * @param endNanos when the connection broke
   */
  public void reportServerEnd(
      BackendServer backend, ImmutableList<PromptPartId> parts, long endNanos) {
    ImmutableMap.Builder<PromptPartId, Long> soundNanos = ImmutableMap.builder();
    for (PromptPartId part : ImmutableSet.copyOf(parts)) {
      soundParts.lastSeenNanos(part).ifPresent(nanos -> soundNanos.put(part, nanos));
    }
    ServerEnd end =
        new ServerEnd(
            self.host(),
            backend.id(),
            backend.domain(),
            parts,
            soundNanos.buildOrThrow(),
            endNanos);
    log.add("quarantine", "server end", "backend", backend.id(), "parts", parts);
    serverEnds.add(end);
    submitServerEnd(end, nanoClock.getAsLong());
  }

  /**
   * Records that a backend server stated in a response that it is leaving, and reports it to the
   * dispatching host, and to each next one.
   *
   * @param status the status of the response
   */
  public void reportLeaving(BackendServer backend, int status) {
    long now = nanoClock.getAsLong();
    leavingServers.stated(
        backend,
        status,
        now,
        message ->
            dispatchingHost
                .remote()
                .ifPresentOrElse(
                    host -> links.send(host, message), () -> apply(dispatcher.tick(now))));
  }

  private void receiveLeaving(HostId host, BackendLeavingMessage message) {
    long now = nanoClock.getAsLong();
    if (leavingServers.reported(host, message, now)) {
      apply(dispatcher.tick(now));
    }
  }

  /** Adopts a quarantine that another host decided on. */
  public void adoptQuarantine(PromptPartId part, long durationNanos, long remainingNanos) {
    long now = nanoClock.getAsLong();
    quarantine.adopt(part, durationNanos, now + remainingNanos, now);
    apply(dispatcher.refuseQuarantined(now));
  }

  /** Lifts a quarantine. */
  public void liftQuarantine(PromptPartId part) {
    quarantine.lift(part);
    serverEnds.forget(part);
  }

  /** Returns whether any prompt part is in quarantine. */
  public boolean hasQuarantine() {
    return quarantine.count(nanoClock.getAsLong()) > 0;
  }

  /** Returns the first of the given prompt parts that is in quarantine. */
  public Optional<PartQuarantine.Verdict> findQuarantined(Iterable<PromptPartId> parts) {
    return quarantine.find(parts, nanoClock.getAsLong());
  }

  /** Runs a task whenever the live peers may have changed. */
  public void onPeersChanged(Runnable task) {
    onPeersChanged.add(task);
  }

  /** Replaces the hosts that are registered at the platform. */
  public void setPeers(Collection<PeerAddress> registeredHosts) {
    ImmutableList<PeerAddress> others =
        registeredHosts.stream()
            .filter(host -> !host.host().equals(self.host()))
            .collect(ImmutableList.toImmutableList());
    election.setOtherHostCount(others.size());
    shares.setOtherHosts(others);
    links.setPeers(
        others.stream()
            .filter(host -> !host.servesCallers())
            .collect(ImmutableList.toImmutableList()));
    followElection();
    updateShares();
    onPeersChanged.forEach(Runnable::run);
  }

  /**
   * Returns the live peers that dispatch and run jobs.
   *
   * @param connectedOnly whether to return only those that are connected to the platform
   */
  public ImmutableList<PeerAddress> livePeers(boolean connectedOnly) {
    return connectedOnly ? links.connectedToPlatform() : links.live();
  }

  /**
   * Returns whether this host gets its slots from the dispatching host of the hosts that serve
   * callers. Work that can wait must not be started otherwise, since it would take slots before
   * their requests.
   */
  public boolean usesSharedDispatcher() {
    return dispatchingHost
        .remote()
        .map(links::isChosenDispatcher)
        .orElseGet(() -> dispatchingHost.isSelf() && server.isChosenDispatcher());
  }

  /** Returns the host that dispatches for this one, which may be this host, if it reaches one. */
  Optional<HostId> dispatchingHost() {
    return dispatchingHost.host();
  }

  /** Returns whether this host dispatches for all hosts. */
  public boolean isDispatching() {
    return dispatchingHost.isSelf();
  }

  /** Returns whether this host and another are connected. */
  public boolean isConnectedTo(HostId host) {
    return links.isLive(host) || server.isConnectedTo(host);
  }

  /** Sends a message to another host; it is dropped while the two are not connected. */
  public void send(HostId host, LinkMessage message) {
    if (links.has(host)) {
      links.send(host, message);
    } else {
      server.send(host, message);
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
    if (findQuarantined(demand.promptParts()).isPresent()) {
      // Run later, since the listener does not know the number yet.
      loop.execute(() -> refuseQuarantined(number));
    } else {
      submitToDispatchingHost(number, call);
    }
    return number;
  }

  private void refuseQuarantined(long number) {
    Call call = calls.get(number);
    if (call != null) {
      long remainingNanos =
          findQuarantined(call.demand.promptParts())
              .map(PartQuarantine.Verdict::remainingNanos)
              .orElse(0L);
      refused(number, RefusalReason.QUARANTINED, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
    }
  }

  /**
   * Ends a demand, whether it waits or runs.
   *
   * @param report what this host saw of the response
   */
  public void finish(long number, PlacementResult result, RunReport report) {
    Call ended = calls.remove(number);
    if (ended == null) {
      return;
    }
    if (report.responseBegan()) {
      soundParts.seen(ended.demand.promptParts(), nanoClock.getAsLong());
    }
    report(number, result, report);
  }

  /** Assigns free slots to waiting demands after the fleet has changed. */
  public void onFleetChanged() {
    updateShares();
    apply(dispatcher.tick(nanoClock.getAsLong()));
  }

  private DemandId localId(long number) {
    return new DemandId(self.host(), number);
  }

  private boolean isDispatchedBy(HostId peer) {
    return dispatchingHost.remote().filter(peer::equals).isPresent();
  }

  /** Moves the calls of this host if the election gave it another dispatching host. */
  private void followElection() {
    DispatchingHost next = DispatchingHost.of(election, self, nanoClock.getAsLong());
    if (next.equals(dispatchingHost)) {
      return;
    }
    log.add(
        "dispatch",
        "dispatching host changed",
        "host",
        next.host().map(HostId::value).orElse("none"),
        "term",
        next.term(),
        "calls",
        calls.size());
    leaveDispatchingHost(next);
    dispatchingHost = next;
    shares.onDispatchingHostChanged(next, nanoClock.getAsLong());
    long now = nanoClock.getAsLong();
    next.remote()
        .ifPresent(
            host -> {
              links.send(host, LinkMessage.hello(links.hello()));
              leavingServers.reportAll(now, message -> links.send(host, message));
            });
    if (next.isSelf()) {
      server.announce();
    }
    ImmutableList.copyOf(calls.entrySet())
        .forEach(entry -> submitToDispatchingHost(entry.getKey(), entry.getValue()));
    serverEnds.recent(now).forEach(end -> submitServerEnd(end, now));
  }

  private void submitServerEnd(ServerEnd end, long now) {
    if (dispatchingHost.remote().isPresent()) {
      links.send(
          dispatchingHost.remote().get(),
          LinkMessage.serverEnd(ServerEndReports.toMessage(end, now)));
    } else {
      quarantine.reported(end, now);
    }
  }

  private void leaveDispatchingHost(DispatchingHost next) {
    if (dispatchingHost.remote().isPresent()) {
      // A hello makes the receiver drop the demands that it holds for this host.
      links.send(dispatchingHost.remote().get(), LinkMessage.hello(links.hello()));
    } else {
      dispatcher.hostRestarted(self.host());
    }
    if (dispatchingHost.isSelf() && !next.isSelf()) {
      server.dropClients();
      server.announce();
    }
  }

  private void updateShares() {
    shares.update(dispatchingHost, nanoClock.getAsLong());
  }

  private void submitToDispatchingHost(long number, Call call) {
    DemandSpec demand = call.demand;
    long now = nanoClock.getAsLong();
    if (dispatchingHost.remote().isEmpty()) {
      Demand local = DemandMessages.toDemand(localId(number), demand);
      if (call.backend.isPresent()) {
        dispatcher.registerRunning(local, call.backend.get(), now);
      } else {
        apply(dispatcher.submit(local, now));
      }
      return;
    }
    DemandMessage message = DemandMessages.of(number, demand, call.backend, now);
    links.send(dispatchingHost.remote().get(), LinkMessage.demand(message));
  }

  private void receive(HostId from, LinkMessage message) {
    boolean isDecision = message.isSetPlaced() || message.isSetRefused() || message.isSetRevoked();
    if (isDecision && !isDispatchedBy(from)) {
      // The demand was submitted to another host since; two placements would be two runs.
      return;
    }
    if (message.isSetPlaced()) {
      if (message.getPlaced().isSetTerm()
          && message.getPlaced().getTerm() != dispatchingHost.term()) {
        return;
      }
      placed(message.getPlaced().getCall(), BackendServerId.of(message.getPlaced().getBackend()));
    } else if (message.isSetRefused()) {
      RefusedMessage refused = message.getRefused();
      if (refused.isSetPromptPart()) {
        long nanos =
            Math.min(
                MAX_REFUSAL_VALIDITY.toNanos(),
                TimeUnit.MILLISECONDS.toNanos(refused.getRetryAfterMillis()));
        if (nanos > 0) {
          adoptQuarantine(PromptPartId.of(refused.getPromptPart()), nanos, nanos);
        }
      }
      refused(
          refused.getCall(),
          RefusalReason.values()[refused.getReason()],
          refused.getRetryAfterMillis());
    } else if (message.isSetRevoked()) {
      revoked(message.getRevoked().getCall());
    } else {
      messageHandler.received(from, message, answer -> links.send(from, answer));
    }
  }

  private void placed(long number, BackendServerId id) {
    Call call = calls.get(number);
    if (call == null) {
      // It was refused here after it had been submitted; the slot must not stay in use.
      report(number, PlacementResult.CANCELLED, RunReport.NONE);
      return;
    }
    if (call.backend.isPresent()) {
      return;
    }
    Optional<BackendServer> backend = fleet.backend(id);
    if (backend
        .filter(found -> fleet.isUsable(found) && !leavingServers.isLeaving(found))
        .isEmpty()) {
      // This host does not know the backend server yet, or knows before the dispatching host that
      // it is leaving, gone or in a drained domain.
      report(
          number,
          backend.isPresent() ? PlacementResult.LEAVING : PlacementResult.CANCELLED,
          RunReport.NONE);
      Call retry = new Call(call.demand.excluding(id), call.listener);
      calls.put(number, retry);
      submitToDispatchingHost(number, retry);
      return;
    }
    if (findQuarantined(call.demand.promptParts()).isPresent()) {
      report(number, PlacementResult.CANCELLED, RunReport.NONE);
      refuseQuarantined(number);
      return;
    }
    call.backend = Optional.of(id);
    call.listener.placed(backend.get());
  }

  private void report(long number, PlacementResult result, RunReport report) {
    if (dispatchingHost.remote().isPresent()) {
      links.send(
          dispatchingHost.remote().get(),
          LinkMessage.finished(DemandMessages.finished(number, result, report)));
    } else {
      apply(dispatcher.finished(localId(number), result, report, nanoClock.getAsLong()));
    }
  }

  private void refused(long number, RefusalReason reason, long retryAfterMillis) {
    Call call = calls.remove(number);
    if (call != null) {
      if (reason == RefusalReason.QUARANTINED) {
        logQuarantined(call.demand);
      }
      call.listener.refused(reason, retryAfterMillis);
    }
  }

  private void logQuarantined(DemandSpec demand) {
    log.add(
        "quarantine",
        "refused",
        "request",
        demand.request(),
        "part",
        findQuarantined(demand.promptParts())
            .map(verdict -> verdict.part().value())
            .orElse("lifted since"));
  }

  private void revoked(long number) {
    Call call = calls.get(number);
    if (call != null) {
      call.listener.revoked();
    }
  }

  private void apply(ImmutableList<Decision> decisions) {
    for (Decision decision : decisions) {
      refusalLog.add(decision, nanoClock.getAsLong());
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
          if (dispatchingHost.remote().isPresent()) {
            // Another host dispatches by now; it has the demand.
            return;
          }
          if (decision instanceof Decision.Placed placed) {
            placed(placed.demand().call(), placed.backend());
          } else if (decision instanceof Decision.Refused refused) {
            refused(refused.demand().call(), refused.reason(), refused.retryAfterMillis());
          } else if (decision instanceof Decision.Quarantined quarantined) {
            refuseQuarantined(quarantined.demand().call());
          } else {
            revoked(decision.demand().call());
          }
        });
  }

  /** Passes what happens on the links to the election and to the handlers of messages. */
  private final class LinkListener implements Link.Listener {
    @Override
    public void heartbeat(PeerAddress peer, PulseMessage heartbeat) {
      long now = nanoClock.getAsLong();
      heartbeats.recordRevisions(peer.host(), heartbeat, now);
      election.report(peer.host(), Heartbeats.reportOf(heartbeat), now);
      followElection();
    }

    @Override
    public void lost(PeerAddress peer) {
      election.lose(peer.host());
      followElection();
    }

    @Override
    public void stateChanged() {
      onPeersChanged.forEach(Runnable::run);
    }

    @Override
    public void received(PeerAddress peer, LinkMessage message) {
      receive(peer.host(), message);
    }
  }
}
