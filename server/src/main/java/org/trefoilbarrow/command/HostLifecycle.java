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

/** Starts and stops the parts of a host in their order. */
@Singleton
final class HostLifecycle implements Managed {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration SHARE_STEP = Duration.ofMillis(500);
  private static final Duration SHARE_READ = Duration.ofSeconds(3);
  private static final Duration PUBLISH_SHARES = Duration.ofMillis(100);
  private static final Duration FIRST_READ_WAIT = Duration.ofMillis(200);
  private static final Duration PULL_EVERY = Duration.ofSeconds(1);
  private static final Duration LATE_JOBS_CHECK = Duration.ofSeconds(30);
  private static final Duration LEAVE_WAIT = Duration.ofSeconds(1);

  private final Settings settings;
  private final HostIdentity identity;
  private final ConfigurationTable configuration;
  private final PermitScheduler scheduler;
  private final PermitQueue gate;
  private final TokenService tokens;
  private final PermitBorrower borrower;
  private final PeerDirectory directory;
  private final SeedJoiner greeter;
  private final ConfigurationPuller puller;
  private final BatchRunner batch;
  private final RunningCalls runningCalls;
  private final ActiveRequests activeRequests;
  private final HostServingState condition;
  private final LoadMonitor reporter;
  private final CollectionWatcher configurationWatcher;
  private final CollectionWatcher jobWatcher;
  private final HostStatusAgent statusAgent;
  private final ShareAgent shareAgent;
  private final PeriodicTask statusTask;
  private final PeriodicTask shareTask;
  private final PeriodicTask publishTask;
  private final PeriodicTask lateJobsTask;
  private final LongSupplier nanoClock;
  private PeerServer peerServer;
  private long pulledAtNanos;

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
      PermitQueue gate,
      TokenService tokens,
      PermitBorrower borrower,
      PeerDirectory directory,
      HostStatus status,
      SeedJoiner greeter,
      ConfigurationPuller puller,
      BatchRunner batch,
      LateJobMonitor lateJobs,
      RunningCalls runningCalls,
      ActiveRequests activeRequests,
      HostServingState condition,
      LoadMonitor reporter,
      @Named("nanos") LongSupplier nanoClock) {
    this.settings = checkNotNull(settings, "settings");
    this.identity = checkNotNull(identity, "identity");
    this.configuration = checkNotNull(configuration, "configuration");
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.gate = checkNotNull(gate, "gate");
    this.tokens = checkNotNull(tokens, "tokens");
    this.borrower = checkNotNull(borrower, "borrower");
    this.directory = checkNotNull(directory, "directory");
    this.greeter = checkNotNull(greeter, "greeter");
    this.puller = checkNotNull(puller, "puller");
    this.batch = checkNotNull(batch, "batch");
    this.runningCalls = checkNotNull(runningCalls, "runningCalls");
    this.activeRequests = checkNotNull(activeRequests, "activeRequests");
    this.condition = checkNotNull(condition, "condition");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.reporter = checkNotNull(reporter, "reporter");
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
        new HostStatusAgent(platform, membership, status, condition::isLeaving, nanoClock);
    this.shareAgent =
        new ShareAgent(
            platform,
            writes,
            shares,
            identity.host(),
            membership,
            share -> scheduler.isDrained(share, nanoClock.getAsLong()),
            condition::isLeaving,
            scheduler::setShares,
            SHARE_READ,
            nanoClock);
    Duration statusEvery = Duration.ofMillis(settings.peers().statusEveryMillis());
    this.statusTask = new PeriodicTask("membership", statusEvery, statusAgent::exchange);
    this.shareTask = new PeriodicTask("shares", SHARE_STEP, shareAgent::step);
    this.lateJobsTask = new PeriodicTask("late-jobs", LATE_JOBS_CHECK, lateJobs::check);
    this.publishTask = new PeriodicTask("shares-usable", PUBLISH_SHARES, shareAgent::publishUsable);
  }

  @Override
  public void start() throws InterruptedException {
    configuration.addListener(this::applyBackends);
    peerServer = startPeerServer();
    statusTask.start();
    configurationWatcher.start();
    jobWatcher.start();
    shareTask.start();
    publishTask.start();
    tokens.start();
    gate.start();
    borrower.start();
    reporter.start();
    runningCalls.start();
    awaitConfiguration();
    batch.start();
    lateJobsTask.start();
    condition.setReady();
    logger.atInfo().log(
        "host: %s is ready with %s entities", identity.host(), configuration.size());
  }

  @Override
  public void stop() {
    reporter.close();
    lateJobsTask.close();
    publishTask.close();
    shareTask.close();
    statusTask.close();
    jobWatcher.close();
    configurationWatcher.close();
    tokens.close();
    borrower.close();
    gate.close();
    runningCalls.close();
    batch.close();
    directory.close();
    if (peerServer != null) {
      peerServer.close();
    }
  }

  /**
   * Leaves the fleet without cutting a request: tells the balancer, finishes requests, gives batch
   * segments and shares to others.
   */
  void leave() throws InterruptedException {
    logger.atInfo().log("host: %s leaves", identity.host());
    condition.setLeaving();
    Thread.sleep(LEAVE_WAIT.toMillis());
    condition.setStopped();
    Duration longest = Duration.ofMillis(settings.limits().shutdownWaitMillis());
    batch.releaseSegments(longest);
    if (!activeRequests.awaitNone(longest)) {
      logger.atWarning().log("host: %s requests are cut", activeRequests.count());
    }
    // Two steps: the first finds the shares drained, the second sees their releases confirmed.
    shareTask.close();
    shareAgent.step();
    shareAgent.step();
    statusTask.close();
    statusAgent.remove();
    logger.atInfo().log("host: %s has left", identity.host());
  }

  private PeerServer startPeerServer() {
    HostSettings host = settings.host();
    return PeerServer.start(
        new InetSocketAddress(host.address(), host.peerPort()), tokens.peerServiceHandler());
  }

  private void awaitConfiguration() throws InterruptedException {
    while (!configurationWatcher.awaitFirstRead(FIRST_READ_WAIT)) {
      if (configuration.size() > 0) {
        logger.atInfo().log("configuration: first read from a peer");
        return;
      }
      logger.atWarning().atMostEvery(20, TimeUnit.SECONDS).log(
          "configuration: neither the platform nor a peer gives it yet");
    }
  }

  private void applyBackends() {
    scheduler.configure(BackendConfiguration.read(configuration), nanoClock.getAsLong());
    gate.assignPermits();
  }

  private void pullFromPeers() {
    long now = nanoClock.getAsLong();
    if (pulledAtNanos == 0 || now - pulledAtNanos >= PULL_EVERY.toNanos()) {
      pulledAtNanos = now;
      greeter.joinIfNoLivePeers();
      puller.pull();
    }
  }
}
