package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.dispatch.DispatchRules;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.drain.DrainSchedule;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.memory.BufferBudget;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.coordination.watch.WatchedCollections;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.settings.FleetHostSettings;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.BackendConnections;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.forward.ForwardServices;
import org.trefoilbarrow.transport.forward.Ingress;
import org.trefoilbarrow.transport.forward.ServerEndDetector;
import org.trefoilbarrow.transport.jobs.CallerJobGateway;
import org.trefoilbarrow.transport.jobs.JobReadServer;
import org.trefoilbarrow.transport.jobs.JobRunner;
import org.trefoilbarrow.transport.jobs.RequestJobStore;
import org.trefoilbarrow.transport.jobs.RequestJobTable;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.link.QuarantineStore;
import org.trefoilbarrow.transport.link.TermStore;
import org.trefoilbarrow.transport.metrics.FleetMetrics;
import org.trefoilbarrow.transport.metrics.MetricsEndpoint;
import org.trefoilbarrow.transport.watch.TrackedPlatform;

/**
 * A host that runs on the operators' platform. It either forwards callers' requests, or dispatches
 * requests for all hosts and runs jobs.
 *
 * <p>Creates the components of the host, starts them, and stops them in order.
 */
public final class FleetHost {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * How long a response of the platform counts as recent: long enough for a probe to be answered.
   */
  private static final Duration PLATFORM_RESPONSE_TIMEOUT = Duration.ofMillis(3400);

  /** How long a host waits for a dispatching host before it accepts connections without one. */
  private static final Duration DISPATCHING_HOST_TIMEOUT = Duration.ofMillis(1500);

  /** How long the decision on a removal request is delayed while collections are still unread. */
  private static final Duration REMOVAL_RETRY_DELAY = Duration.ofMillis(300);

  /** How often the readiness is updated, and the end of a shutdown is checked. */
  private static final Duration READINESS_CHECK_INTERVAL = Duration.ofMillis(50);

  /** How long a dispatching host that leaves waits for the next one. */
  private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(1);

  /** How long a host that must exit waits until its last answers are sent. */
  private static final Duration LAST_ANSWERS_TIMEOUT = Duration.ofMillis(250);

  private static final Duration LAST_ANSWERS_CHECK_INTERVAL = Duration.ofMillis(10);

  /** The fraction of the heap that responses in progress may take together. */
  private static final double BUFFERED_FRACTION = 0.25;

  private static final int PLATFORM_THREADS = 4;

  private final FleetHostSettings settings;
  private final PlatformAdapter adapter;
  private final LongSupplier nanoClock;
  private final LongSupplier milliClock;
  private final EventLog log;
  private final EventLoopGroup eventLoopGroup =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("loop", true), NioIoHandler.newFactory());
  private final EventLoop loop = eventLoopGroup.next();
  private final FleetView fleet = new FleetView();
  private final ExecutorService executor = newDaemonThreadPool(PLATFORM_THREADS);
  private final CollectionReads collectionReads;
  private final RegisteredHosts hosts;
  private final PlatformAdapter.ConnectedPlatform platform;
  private final CollectionRevisions revisions = new CollectionRevisions();
  private final FleetMetrics metrics = new FleetMetrics(new MetricRegistry());
  private final PeerAddress self;
  private final PlacementClient placements;
  private final PlatformWatches watches;
  private final QuarantineStore quarantines;
  private final RequestJobStore jobStore;
  private final RequestJobTable jobTable;
  private final HostRegistration registration;
  private final CatalogFollower configuration;
  private final ForwardServices services;
  private final long startNanos;
  private Optional<Ingress> ingress = Optional.empty();
  private Optional<JobRunner> runner = Optional.empty();
  private volatile boolean leaving;
  private volatile double shutdownSeconds;

  /** Creates a host, which does no work until {@link #start} is called. */
  public FleetHost(
      FleetHostSettings settings,
      PlatformAdapter adapter,
      EventLog log,
      LongSupplier nanoClock,
      LongSupplier milliClock) {
    this.settings = checkNotNull(settings, "settings");
    this.adapter = checkNotNull(adapter, "adapter");
    this.log = checkNotNull(log, "log");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.milliClock = checkNotNull(milliClock, "milliClock");
    this.startNanos = nanoClock.getAsLong();
    this.collectionReads = new CollectionReads(WatchedCollections.of(settings.servesCallers()));
    this.shutdownSeconds = settings.shutdownSeconds();
    this.platform =
        adapter.connect(settings.platform(), settings.platformCallsPerSecond(), nanoClock);
    this.self =
        new PeerAddress(
            HostId.of(settings.name()),
            settings.address(),
            settings.linkPort(),
            settings.servesCallers(),
            settings.failureDomain(),
            milliClock.getAsLong());
    PartQuarantine quarantine = new PartQuarantine(QuarantineRules.DEFAULT);
    LeavingServers leavingServers = new LeavingServers();
    Dispatcher dispatcher =
        new Dispatcher(
            fleet,
            DispatchRules.DEFAULT,
            () -> ThreadLocalRandom.current().nextDouble(),
            quarantine,
            leavingServers);
    this.placements =
        new PlacementClient(
            loop,
            self,
            fleet,
            dispatcher,
            quarantine,
            leavingServers,
            new TermStore(platform, executor, loop),
            revisions,
            this::canDispatch,
            this::isConnectedToPlatform,
            nanoClock,
            log);
    this.watches =
        new PlatformWatches(
            platform,
            self,
            placements,
            revisions,
            settings.peerWatchHosts(),
            loop,
            log,
            metrics,
            nanoClock);
    this.hosts = new RegisteredHosts(this::onHostsChanged, log);
    Platform tracked = new TrackedPlatform(platform, revisions, nanoClock);
    this.quarantines =
        new QuarantineStore(
            loop, self.host(), placements, tracked, executor, nanoClock, milliClock, log);
    placements.setQuarantineListener(quarantines);
    this.registration =
        new HostRegistration(
            tracked,
            self,
            adapter.decoder().removalCompletedStatus(),
            loop,
            executor,
            () -> leaving,
            log);
    this.jobStore = new RequestJobStore(tracked, settings.maxObjectBytes());
    this.jobTable = new RequestJobTable(loop, jobStore, executor, !settings.servesCallers());
    this.configuration =
        new CatalogFollower(
            platform,
            adapter.decoder(),
            fleet,
            placements::onFleetChanged,
            executor,
            loop,
            log,
            nanoClock);
    this.services =
        new ForwardServices(
            loop,
            FailureDomainId.of(settings.failureDomain()),
            fleet,
            placements,
            new BackendConnections(
                loop, adapter.dialect(), nanoClock, leavingServers, placements::reportLeaving),
            new ServerEndDetector(loop, nanoClock, placements::reportServerEnd),
            BufferBudget.of((long) (Runtime.getRuntime().maxMemory() * BUFFERED_FRACTION)),
            adapter.dialect(),
            log,
            metrics,
            nanoClock);
    registerGauges(dispatcher, quarantine);
    metrics.gauge("leaving_backends", leavingServers::count);
    metrics.gauge("leaving_statements", leavingServers::startCount);
  }

  /** Starts all components and registers the host at the platform. */
  public void start() {
    log.add("host", "start", "host", self.host(), "servesCallers", self.servesCallers());
    loop.submit(this::startOnLoop).syncUninterruptibly();
    watchFleet();
    registration.register();
    if (settings.servesCallers()) {
      loop.scheduleAtFixedRate(
          this::updateReadiness,
          READINESS_CHECK_INTERVAL.toMillis(),
          READINESS_CHECK_INTERVAL.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Applies changed settings. Only the shutdown time can change while the host runs; the log states
   * whether the name or the platform changed, which needs a restart.
   */
  public void reload(FleetHostSettings changed) {
    boolean sameIdentity =
        changed.name().equals(settings.name()) && changed.platform().equals(settings.platform());
    shutdownSeconds = changed.shutdownSeconds();
    log.add("host", "reload", "host", self.host(), "needsRestart", !sameIdentity);
  }

  /**
   * Stops the host: reports that it is not ready, waits for requests in progress, and returns when
   * none is left or the shutdown time is over.
   */
  public void stop() {
    leaving = true;
    log.add("host", "stop", "host", self.host());
    long stopStartNanos = nanoClock.getAsLong();
    DrainSchedule drain =
        DrainSchedule.of(stopStartNanos, Duration.ofMillis((long) (shutdownSeconds * 1000)));
    loop.execute(
        () -> {
          placements.leave();
          ingress.ifPresent(found -> found.startDraining(drain));
          runner.ifPresent(JobRunner::stop);
        });
    while (!drain.isOver(nanoClock.getAsLong())) {
      if (loop.submit(() -> isDrained(drain, stopStartNanos)).syncUninterruptibly().getNow()) {
        break;
      }
      try {
        Thread.sleep(READINESS_CHECK_INTERVAL.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    endRequests();
    log.add("host", "end", "host", self.host());
  }

  /** Answers what is still in progress, and waits for a moment until the answers are sent. */
  private void endRequests() {
    loop.submit(() -> ingress.ifPresent(Ingress::endRequests)).syncUninterruptibly();
    long startedNanos = nanoClock.getAsLong();
    while (nanoClock.getAsLong() - startedNanos < LAST_ANSWERS_TIMEOUT.toNanos()
        && loop.submit(() -> ingress.map(Ingress::connectionCount).orElse(0))
                .syncUninterruptibly()
                .getNow()
            > 0) {
      Uninterruptibles.sleepUninterruptibly(LAST_ANSWERS_CHECK_INTERVAL);
    }
  }

  private boolean isDrained(DrainSchedule drain, long stopStartNanos) {
    if (ingress.isEmpty()) {
      return !placements.isDispatching()
          || nanoClock.getAsLong() - stopStartNanos > HANDOVER_TIMEOUT.toNanos();
    }
    if (!drain.closesIdleConnections(nanoClock.getAsLong())) {
      return false;
    }
    ingress.get().closeIdleConnections();
    return ingress.get().activeCount() == 0;
  }

  private void startOnLoop() {
    if (settings.servesCallers()) {
      CallerJobGateway gateway =
          new CallerJobGateway(loop, placements, jobStore, jobTable, executor);
      placements.setMessageHandler(watches.with(gateway));
      Ingress created = new Ingress(services, gateway, milliClock);
      HostAndPort callers = HostAndPort.fromString(settings.callerAddress());
      HostAndPort readiness = HostAndPort.fromString(settings.readinessAddress());
      created.listen(settings.address(), callers.getPort(), readiness.getPort());
      ingress = Optional.of(created);
    } else {
      placements.setMessageHandler(watches.with(new JobReadServer(jobTable)));
      JobRunner created =
          new JobRunner(
              services,
              jobTable,
              jobStore,
              executor,
              self,
              this::hasReadAllCollections,
              configuration::confirm,
              milliClock);
      created.start();
      runner = Optional.of(created);
    }
    placements.start();
    if (settings.metricsPort() > 0) {
      new MetricsEndpoint(loop, metrics).listen(settings.address(), settings.metricsPort());
    }
  }

  private void registerGauges(Dispatcher dispatcher, PartQuarantine quarantine) {
    metrics.gauge("dispatch_waiting", dispatcher::waitingCount);
    metrics.gauge("dispatch_running", dispatcher::runningCount);
    new QueueGauges(dispatcher, metrics).start(loop);
    metrics.gauge("quarantined_parts", () -> quarantine.count(nanoClock.getAsLong()));
    metrics.gauge("buffered_response_bytes", () -> services.buffers().totalBytes());
    metrics.gauge("platform_calls", platform::callCount);
    metrics.gauge("log_lines_dropped", log::droppedCount);
    metrics.gauge("configuration_version", () -> fleet.catalog().map(Catalog::version).orElse(0L));
  }

  private boolean isConnectedToPlatform() {
    return nanoClock.getAsLong() - platform.lastResponseNanos()
        < PLATFORM_RESPONSE_TIMEOUT.toNanos();
  }

  private boolean canDispatch() {
    return !self.servesCallers() && !leaving && hasReadAllCollections();
  }

  private boolean hasReadAllCollections() {
    return collectionReads.hasReadAll();
  }

  private void updateReadiness() {
    boolean hasPeers = !placements.livePeers(false).isEmpty();
    boolean waited = nanoClock.getAsLong() - startNanos > DISPATCHING_HOST_TIMEOUT.toNanos();
    boolean ready =
        !leaving && fleet.catalog().isPresent() && hasReadAllCollections() && (hasPeers || waited);
    ingress.ifPresent(found -> found.setReady(ready));
  }

  private void watchFleet() {
    BackendServerWatcher backends =
        new BackendServerWatcher(
            loop, fleet, adapter.decoder(), log, nanoClock, placements::onFleetChanged);
    FleetWatchers watchers =
        new FleetWatchers(
            platform, watches, revisions, collectionReads, backends, loop, log, nanoClock);
    watchers.addFleet(
        configuration,
        new DrainedDomains(fleet, adapter.decoder(), placements::onFleetChanged, log),
        hosts,
        quarantines);
    if (!settings.servesCallers()) {
      watchers.addJobs(jobTable, this::onRemovalRequested);
    }
    watchers.start();
  }

  private void onHostsChanged(ImmutableList<PeerAddress> registered) {
    watches.setHostCount(registered.size());
    placements.setPeers(registered);
  }

  private void onRemovalRequested(VersionedObject object) {
    if (object.name().equals(settings.name())) {
      leaveOnRemovalRequest();
    } else if (!hasReadAllCollections()) {
      loop.schedule(
          () -> onRemovalRequested(object), REMOVAL_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    } else if (!hosts.contains(object.name()) && placements.isDispatching()) {
      // No host of this fleet runs on that machine, so no other host would confirm its removal.
      log.add("host", "removal of another machine", "machine", object.name());
      registration.confirmRemoval(HostId.of(object.name()));
    }
  }

  private void leaveOnRemovalRequest() {
    if (leaving) {
      return;
    }
    leaving = true;
    log.add("host", "removal asked", "host", self.host());
    placements.leave();
    runner.ifPresent(JobRunner::stop);
    registration.confirmRemoval(self.host());
  }

  private static ExecutorService newDaemonThreadPool(int threads) {
    return Executors.newFixedThreadPool(
        threads,
        task -> {
          Thread thread = new Thread(task, "platform");
          thread.setDaemon(true);
          return thread;
        });
  }
}
