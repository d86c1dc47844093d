package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import io.dropwizard.lifecycle.Managed;
import jakarta.inject.Inject;
import jakarta.inject.Named;
import jakarta.inject.Singleton;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.settings.HostSettings;
import org.trefoilbarrow.settings.Settings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.JobManifestTable;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.transport.backend.LoadMonitor;
import org.trefoilbarrow.transport.backend.PermitQueue;
import org.trefoilbarrow.transport.batch.BatchRunner;
import org.trefoilbarrow.transport.batch.LateJobMonitor;
import org.trefoilbarrow.transport.http.ActiveRequests;
import org.trefoilbarrow.transport.http.HostServingState;
import org.trefoilbarrow.transport.http.RunningCalls;
import org.trefoilbarrow.transport.peer.ConfigurationPuller;
import org.trefoilbarrow.transport.peer.PeerDirectory;
import org.trefoilbarrow.transport.peer.PeerServer;
import org.trefoilbarrow.transport.peer.PermitBorrower;
import org.trefoilbarrow.transport.peer.SeedJoiner;
import org.trefoilbarrow.transport.peer.TokenService;
import org.trefoilbarrow.transport.platform.CollectionWatcher;
import org.trefoilbarrow.transport.platform.HostStatusAgent;
import org.trefoilbarrow.transport.platform.HttpPlatform;
import org.trefoilbarrow.transport.platform.PeriodicTask;
import org.trefoilbarrow.transport.platform.ShareAgent;

/** Starts and stops the components of a host in order. */
@Singleton
final class HostLifecycle implements Managed {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration SHARE_STEP_INTERVAL = Duration.ofMillis(500);
  private static final Duration SHARE_READ_INTERVAL = Duration.ofSeconds(3);
  private static final Duration USABLE_SHARES_INTERVAL = Duration.ofMillis(100);
  private static final Duration FIRST_READ_TIMEOUT = Duration.ofMillis(200);
  private static final Duration PULL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration LATE_JOBS_INTERVAL = Duration.ofSeconds(30);
  private static final Duration UNHEALTHY_GRACE_PERIOD = Duration.ofSeconds(1);

  private final Settings settings;
  private final HostIdentity identity;
  private final ConfigurationTable configuration;
  private final PermitScheduler scheduler;
  private final PermitQueue permitQueue;
  private final TokenService tokens;
  private final PermitBorrower borrower;
  private final PeerDirectory directory;
  private final SeedJoiner joiner;
  private final ConfigurationPuller puller;
  private final BatchRunner batch;
  private final RunningCalls runningCalls;
  private final ActiveRequests activeRequests;
  private final HostServingState servingState;
  private final LoadMonitor loadMonitor;
  private final CollectionWatcher configurationWatcher;
  private final CollectionWatcher jobWatcher;
  private final HostStatusAgent statusAgent;
  private final ShareAgent shareAgent;
  private final PeriodicTask statusTask;
  private final PeriodicTask shareTask;
  private final PeriodicTask usableSharesTask;
  private final PeriodicTask lateJobsTask;
  private final LongSupplier nanoClock;
  private PeerServer peerServer;
  private long lastPullNanos;

  @Inject
  HostLifecycle(
      Settings settings,
      HostIdentity identity,
      HttpPlatform platform,
      ConfirmedWrites writes,
      ConfigurationTable configuration,
      JobManifestTable jobs,
      MembershipView membership,
      ShareLeases shares,
      PermitScheduler scheduler,
      PermitQueue permitQueue,
      TokenService tokens,
      PermitBorrower borrower,
      PeerDirectory directory,
      HostStatus status,
      SeedJoiner joiner,
      ConfigurationPuller puller,
      BatchRunner batch,
      LateJobMonitor lateJobMonitor,
      RunningCalls runningCalls,
      ActiveRequests activeRequests,
      HostServingState servingState,
      LoadMonitor loadMonitor,
      @Named("nanos") LongSupplier nanoClock) {
    this.settings = checkNotNull(settings, "settings");
    this.identity = checkNotNull(identity, "identity");
    this.configuration = checkNotNull(configuration, "configuration");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.permitQueue = checkNotNull(permitQueue, "permitQueue");
    this.tokens = checkNotNull(tokens, "tokens");
    this.borrower = checkNotNull(borrower, "borrower");
    this.directory = checkNotNull(directory, "directory");
    this.joiner = checkNotNull(joiner, "joiner");
    this.puller = checkNotNull(puller, "puller");
    this.batch = checkNotNull(batch, "batch");
    this.runningCalls = checkNotNull(runningCalls, "runningCalls");
    this.activeRequests = checkNotNull(activeRequests, "activeRequests");
    this.servingState = checkNotNull(servingState, "servingState");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.loadMonitor = checkNotNull(loadMonitor, "loadMonitor");
    this.configurationWatcher =
        new CollectionWatcher(
            platform,
            ObjectKind.CONFIGURATION,
            page -> configuration.applySnapshot(page.objects(), page.revision()),
            configuration::applyBatch,
            this::pullFromPeers);
    this.jobWatcher =
        new CollectionWatcher(
            platform,
            ObjectKind.JOB,
            page -> jobs.applySnapshot(page.objects()),
            changes -> jobs.apply(changes.changes()),
            () -> {});
    this.statusAgent =
        new HostStatusAgent(platform, membership, status, servingState::isLeaving, nanoClock);
    this.shareAgent =
        new ShareAgent(
            platform,
            writes,
            shares,
            identity.host(),
            membership,
            share -> scheduler.isDrained(share, nanoClock.getAsLong()),
            servingState::isLeaving,
            scheduler::setShares,
            SHARE_READ_INTERVAL,
            nanoClock);
    Duration statusInterval = Duration.ofMillis(settings.peers().statusEveryMillis());
    this.statusTask = new PeriodicTask("membership", statusInterval, statusAgent::exchange);
    this.shareTask = new PeriodicTask("shares", SHARE_STEP_INTERVAL, shareAgent::step);
    this.lateJobsTask = new PeriodicTask("late-jobs", LATE_JOBS_INTERVAL, lateJobMonitor::check);
    this.usableSharesTask =
        new PeriodicTask("shares-usable", USABLE_SHARES_INTERVAL, shareAgent::publishUsable);
  }

  @Override
  public void start() throws InterruptedException {
    configuration.addListener(this::applyBackends);
    peerServer = startPeerServer();
    statusTask.start();
    configurationWatcher.start();
    jobWatcher.start();
    shareTask.start();
    usableSharesTask.start();
    tokens.start();
    permitQueue.start();
    borrower.start();
    loadMonitor.start();
    runningCalls.start();
    awaitConfiguration();
    batch.start();
    lateJobsTask.start();
    servingState.setReady();
    logger.atInfo().log(
        "host: %s is ready with %s entities", identity.host(), configuration.size());
  }

  @Override
  public void stop() {
    loadMonitor.close();
    lateJobsTask.close();
    usableSharesTask.close();
    shareTask.close();
    statusTask.close();
    jobWatcher.close();
    configurationWatcher.close();
    tokens.close();
    borrower.close();
    permitQueue.close();
    runningCalls.close();
    batch.close();
    directory.close();
    if (peerServer != null) {
      peerServer.close();
    }
  }

  /**
   * Leaves the fleet without interrupting requests: reports the host as unhealthy to the balancer,
   * waits for the requests in progress, and releases batch segments and shares to other hosts.
   */
  void leave() throws InterruptedException {
    logger.atInfo().log("host: %s is leaving the fleet", identity.host());
    servingState.setLeaving();
    Thread.sleep(UNHEALTHY_GRACE_PERIOD.toMillis());
    servingState.setStopped();
    Duration timeout = Duration.ofMillis(settings.limits().shutdownWaitMillis());
    batch.releaseSegments(timeout);
    if (!activeRequests.awaitNone(timeout)) {
      logger.atWarning().log(
          "host: %s requests in progress are aborted; they did not end within %s ms",
          activeRequests.count(), timeout.toMillis());
    }
    // The first step releases the drained shares; the second confirms their releases.
    shareTask.close();
    shareAgent.step();
    shareAgent.step();
    statusTask.close();
    statusAgent.remove();
    logger.atInfo().log("host: %s has left the fleet", identity.host());
  }

  private PeerServer startPeerServer() {
    HostSettings host = settings.host();
    return PeerServer.start(
        new InetSocketAddress(host.address(), host.peerPort()), tokens.peerServiceHandler());
  }

  private void awaitConfiguration() throws InterruptedException {
    while (!configurationWatcher.awaitFirstRead(FIRST_READ_TIMEOUT)) {
      if (configuration.size() > 0) {
        logger.atInfo().log(
            "configuration: received %s entities from a peer before the first read of the platform",
            configuration.size());
        return;
      }
      logger.atWarning().atMostEvery(20, TimeUnit.SECONDS).log(
          "configuration: not received from the platform or a peer yet; the host waits for it");
    }
  }

  private void applyBackends() {
    scheduler.configure(BackendConfiguration.read(configuration), nanoClock.getAsLong());
    permitQueue.assignPermits();
  }

  private void pullFromPeers() {
    long now = nanoClock.getAsLong();
    if (lastPullNanos == 0 || now - lastPullNanos >= PULL_INTERVAL.toNanos()) {
      lastPullNanos = now;
      joiner.joinIfNoLivePeers();
      puller.pull();
    }
  }
}
