package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.dispatch.DispatchRules;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.settings.FleetHostSettings;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.BackendConnections;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.forward.ForwardServices;
import org.trefoilbarrow.transport.forward.Ingress;
import org.trefoilbarrow.transport.jobs.CallerJobGateway;
import org.trefoilbarrow.transport.jobs.JobReadServer;
import org.trefoilbarrow.transport.jobs.JobRunner;
import org.trefoilbarrow.transport.jobs.RequestJobStore;
import org.trefoilbarrow.transport.jobs.RequestJobTable;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.metrics.FleetMetrics;
import org.trefoilbarrow.transport.metrics.MetricsEndpoint;
import org.trefoilbarrow.transport.platform.CollectionWatcher;
import org.trefoilbarrow.transport.platform.PlatformProbe;

/**
 * A host of a fleet on an operators' platform: forwards requests of callers, or dispatches for all
 * and runs jobs. Starts all parts and ends them in order.
 */
public final class FleetHost {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The longest time of a watch: below the time for which platforms keep their history. */
  private static final Duration WATCH_WAIT = Duration.ofSeconds(15);

  /** Many backend servers start together; short against the time in which a leaving one is left. */
  private static final Duration BACKENDS_PAUSE = Duration.ofMillis(250);

  /** All hosts start together, and each hears of each. */
  private static final Duration HOSTS_PAUSE = Duration.ofSeconds(1);

  /** Results come in bursts; a job's caller reads them about twice a second. */
  private static final Duration RESULTS_PAUSE = Duration.ofMillis(250);

  /** The platform was heard lately if a probe could have been answered since. */
  private static final Duration FIT_FOR = Duration.ofMillis(3400);

  /** How long a host waits for a dispatching host before it gets connections without one. */
  private static final Duration WAIT_FOR_PEERS = Duration.ofMillis(1500);

  /** How long a question that concerns the fleet waits for the first reading of it. */
  private static final Duration ASK_AGAIN = Duration.ofMillis(300);

  private static final Duration READY_EVERY = Duration.ofMillis(50);

  /** How long new connections still come after a host said that it is not ready. */
  private static final Duration ROTATION_TIME = Duration.ofMillis(2600);

  /** What is left of the time to end when the process exits whatever it does. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(500);

  private static final int PLATFORM_THREADS = 4;

  private final FleetHostSettings settings;
  private final PlatformAdapter adapter;
  private final LongSupplier nanoClock;
  private final LongSupplier milliClock;
  private final EventLog log;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("loop", true), NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final FleetView fleet = new FleetView();
  private final ExecutorService executor = daemons(PLATFORM_THREADS);
  private final AtomicInteger firstReads = new AtomicInteger();
  private final Map<String, PeerAddress> peers = new HashMap<>();
  private final Set<String> drained = new HashSet<>();
  private final PlatformAdapter.ConnectedPlatform platform;
  private final FleetMetrics metrics = new FleetMetrics(new MetricRegistry());
  private final PeerAddress self;
  private final PlacementClient placements;
  private final RequestJobStore objects;
  private final RequestJobTable table;
  private final HostRegistration registration;
  private final ForwardServices services;
  private final long startNanos;
  private Optional<Ingress> ingress = Optional.empty();
  private Optional<JobRunner> runner = Optional.empty();
  private int watched;
  private volatile boolean leaving;
  private volatile double shutdownSeconds;

  /** Creates a host; {@link #start} begins its work. */
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
    this.shutdownSeconds = settings.shutdownSeconds();
    this.platform =
        adapter.connect(settings.platform(), settings.platformCallsPerSecond(), nanoClock);
    this.self =
        new PeerAddress(
            HostId.of(settings.name()),
            settings.address(),
            settings.linkPort(),
            settings.servesCallers(),
            milliClock.getAsLong());
    Dispatcher dispatcher =
        new Dispatcher(
            fleet, DispatchRules.DEFAULT, () -> ThreadLocalRandom.current().nextDouble());
    this.placements =
        new PlacementClient(loop, self, fleet, dispatcher, this::isFit, nanoClock, log);
    this.registration =
        new HostRegistration(
            platform,
            self,
            adapter.decoder().removalCompletedStatus(),
            loop,
            executor,
            () -> leaving,
            log);
    this.objects = new RequestJobStore(platform);
    this.table = new RequestJobTable(loop, objects, executor, !settings.servesCallers());
    this.services =
        new ForwardServices(
            loop,
            fleet,
            placements,
            new BackendConnections(loop, adapter.dialect(), nanoClock),
            adapter.dialect(),
            log,
            metrics,
            nanoClock);
    registerGauges(dispatcher);
  }

  /** Starts all parts. */
  public void start() {
    log.add("host", "start", "host", self.host(), "servesCallers", self.servesCallers());
    loop.submit(this::startOnLoop).syncUninterruptibly();
    followFleet();
    registration.register();
    if (settings.servesCallers()) {
      loop.scheduleAtFixedRate(
          this::judgeReadiness,
          READY_EVERY.toMillis(),
          READY_EVERY.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  /** Reads the settings anew and takes what can change while the host runs. */
  public void reload(FleetHostSettings changed) {
    boolean sameIdentity =
        changed.name().equals(settings.name()) && changed.platform().equals(settings.platform());
    shutdownSeconds = changed.shutdownSeconds();
    log.add("host", "reload", "host", self.host(), "needsRestart", !sameIdentity);
  }

  /** Ends: announces it, lets running work finish, and closes what is left when time is up. */
  public void stop() {
    leaving = true;
    log.add("host", "stop", "host", self.host());
    long begin = nanoClock.getAsLong();
    long limit = Duration.ofMillis((long) (shutdownSeconds * 1000)).toNanos();
    loop.execute(
        () -> {
          ingress.ifPresent(Ingress::startDraining);
          runner.ifPresent(JobRunner::stop);
        });
    while (nanoClock.getAsLong() - begin < limit - EXIT_MARGIN.toNanos()) {
      if (loop.submit(() -> isEmpty(begin)).syncUninterruptibly().getNow()) {
        break;
      }
      try {
        Thread.sleep(READY_EVERY.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    log.add("host", "end", "host", self.host());
  }

  private boolean isEmpty(long beginNanos) {
    if (ingress.isEmpty()) {
      return true;
    }
    if (nanoClock.getAsLong() - beginNanos < ROTATION_TIME.toNanos()) {
      return false;
    }
    ingress.get().closeIdleConnections();
    return ingress.get().activeCount() == 0;
  }

  private void startOnLoop() {
    if (settings.servesCallers()) {
      CallerJobGateway front = new CallerJobGateway(loop, placements, objects, table, executor);
      placements.setMessageHandler(front);
      Ingress created = new Ingress(services, front, milliClock);
      HostAndPort callers = HostAndPort.fromString(settings.callerAddress());
      HostAndPort readiness = HostAndPort.fromString(settings.readinessAddress());
      created.listen(settings.address(), callers.getPort(), readiness.getPort());
      ingress = Optional.of(created);
    } else {
      placements.setMessageHandler(new JobReadServer(table));
      JobRunner created =
          new JobRunner(services, table, objects, executor, self, this::followsAll, milliClock);
      created.start();
      runner = Optional.of(created);
    }
    placements.start();
    if (settings.metricsPort() > 0) {
      new MetricsEndpoint(loop, metrics).listen(settings.address(), settings.metricsPort());
    }
  }

  private void registerGauges(Dispatcher dispatcher) {
    metrics.gauge("dispatch_waiting", dispatcher::waitingCount);
    metrics.gauge("dispatch_running", dispatcher::runningCount);
    metrics.gauge("platform_calls", platform::callCount);
    metrics.gauge("log_lines_dropped", log::droppedCount);
    metrics.gauge("configuration_version", () -> fleet.catalog().map(Catalog::version).orElse(0L));
  }

  private boolean isFit() {
    return nanoClock.getAsLong() - platform.lastResponseNanos() < FIT_FOR.toNanos();
  }

  private boolean followsAll() {
    return firstReads.get() >= watched;
  }

  private void judgeReadiness() {
    boolean hasPeers = !placements.livePeers(false).isEmpty();
    boolean waited = nanoClock.getAsLong() - startNanos > WAIT_FOR_PEERS.toNanos();
    boolean ready = !leaving && fleet.catalog().isPresent() && followsAll() && (hasPeers || waited);
    ingress.ifPresent(found -> found.setReady(ready));
  }

  private void followFleet() {
    BackendServerWatcher backends =
        new BackendServerWatcher(
            loop, fleet, adapter.decoder(), log, nanoClock, placements::onFleetChanged);
    ImmutableList.Builder<CollectionWatcher> watchers = ImmutableList.builder();
    ObjectWatchers feeds =
        new ObjectWatchers(platform, loop, WATCH_WAIT, firstReads::incrementAndGet);
    watchers.add(feeds.of(ObjectKind.CONFIGURATION, this::configured, name -> {}));
    watchers.add(
        new CollectionWatcher(
            platform,
            ObjectKind.BACKEND_SERVER,
            page -> {
              backends.onWhole(page);
              firstReads.incrementAndGet();
            },
            backends::onChanges,
            backends::onOutage,
            WATCH_WAIT,
            BACKENDS_PAUSE));
    watchers.add(feeds.of(ObjectKind.DRAINED_DOMAIN, this::drained, this::undrained));
    watchers.add(feeds.of(ObjectKind.HOST, this::hostListed, this::hostGone, HOSTS_PAUSE));
    if (!settings.servesCallers()) {
      watchers.add(
          feeds.of(ObjectKind.JOB, object -> table.jobCreated(object.value()), table::jobRemoved));
      watchers.add(
          feeds.of(
              ObjectKind.RESULT,
              object -> table.partCreated(object.name(), object.value()),
              name -> {},
              RESULTS_PAUSE));
      watchers.add(
          feeds.of(ObjectKind.JOB_END, object -> table.jobCancelled(object.name()), name -> {}));
      watchers.add(feeds.of(ObjectKind.HOST_REMOVAL, this::removalAsked, name -> {}));
    }
    ImmutableList<CollectionWatcher> all = watchers.build();
    watched = all.size();
    all.forEach(CollectionWatcher::start);
    new PlatformProbe(
            platform::probe,
            () -> log.add("platform", "lost"),
            () -> {
              log.add("platform", "regained");
              platform.abortWatches();
            })
        .start();
  }

  private void configured(VersionedObject object) {
    Optional<Catalog> catalog;
    try {
      catalog = adapter.decoder().decodeCatalog(object.name(), object.value());
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("host: a configuration cannot be read");
      log.add("config", "unreadable", "revision", object.version(), "reason", e.getMessage());
      return;
    }
    if (catalog.isPresent() && fleet.apply(catalog.get(), object.version())) {
      log.add(
          "config",
          "in force",
          "version",
          catalog.get().version(),
          "revision",
          object.version(),
          "routes",
          catalog.get().routes().size());
      placements.onFleetChanged();
    }
  }

  private void drained(VersionedObject object) {
    if (drained.add(object.name())) {
      log.add("config", "domain drained", "domain", object.name());
      setDrained();
    }
  }

  private void undrained(String name) {
    if (drained.remove(name)) {
      log.add("config", "domain back", "domain", name);
      setDrained();
    }
  }

  private void setDrained() {
    Set<FailureDomainId> domains = new HashSet<>();
    drained.forEach(name -> domains.add(adapter.decoder().decodeDrainedDomain(name)));
    fleet.setDrainedDomains(domains);
    placements.onFleetChanged();
  }

  private void hostListed(VersionedObject object) {
    peers.put(object.name(), JsonCodec.decode(object.value(), PeerAddress.class));
    log.add("peers", "listed", "host", object.name());
    placements.setPeers(peers.values());
  }

  private void hostGone(String name) {
    peers.remove(name);
    log.add("peers", "gone", "host", name);
    placements.setPeers(peers.values());
  }

  private void removalAsked(VersionedObject object) {
    if (object.name().equals(settings.name())) {
      leaveForRemoval();
    } else if (!followsAll()) {
      loop.schedule(() -> removalAsked(object), ASK_AGAIN.toMillis(), TimeUnit.MILLISECONDS);
    } else if (!peers.containsKey(object.name()) && placements.isDispatching()) {
      // No host of this fleet runs on that machine, so that nobody else would answer.
      log.add("host", "removal of another machine", "machine", object.name());
      registration.confirmRemoval(HostId.of(object.name()));
    }
  }

  private void leaveForRemoval() {
    if (leaving) {
      return;
    }
    leaving = true;
    log.add("host", "removal asked", "host", self.host());
    runner.ifPresent(JobRunner::stop);
    registration.confirmRemoval(self.host());
  }

  private static ExecutorService daemons(int threads) {
    return Executors.newFixedThreadPool(
        threads,
        task -> {
          Thread thread = new Thread(task, "platform");
          thread.setDaemon(true);
          return thread;
        });
  }
}
