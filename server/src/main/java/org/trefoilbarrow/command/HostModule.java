package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import jakarta.inject.Named;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.BackendChoice;
import org.trefoilbarrow.coordination.backend.PermitRules;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.coordination.backend.WorkClass;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.coordination.share.ShareRules;
import org.trefoilbarrow.coordination.token.TokenRules;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.settings.BackendsSettings;
import org.trefoilbarrow.settings.BatchSettings;
import org.trefoilbarrow.settings.HostSettings;
import org.trefoilbarrow.settings.LimitsSettings;
import org.trefoilbarrow.settings.OperatorsSettings;
import org.trefoilbarrow.settings.PeersSettings;
import org.trefoilbarrow.settings.Settings;
import org.trefoilbarrow.settings.SharesSettings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.JobManifestTable;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.transport.backend.BackendClient;
import org.trefoilbarrow.transport.backend.BatchCalls;
import org.trefoilbarrow.transport.backend.HttpClients;
import org.trefoilbarrow.transport.backend.LoadMonitor;
import org.trefoilbarrow.transport.backend.OnlineDispatcher;
import org.trefoilbarrow.transport.backend.PermitQueue;
import org.trefoilbarrow.transport.backend.RecordedCalls;
import org.trefoilbarrow.transport.batch.BatchRunner;
import org.trefoilbarrow.transport.batch.BatchRunnerFactory;
import org.trefoilbarrow.transport.batch.FileStore;
import org.trefoilbarrow.transport.batch.JobStore;
import org.trefoilbarrow.transport.batch.LateJobMonitor;
import org.trefoilbarrow.transport.http.ActiveRequests;
import org.trefoilbarrow.transport.http.HostServingState;
import org.trefoilbarrow.transport.http.OrganisationMetrics;
import org.trefoilbarrow.transport.http.RunningCalls;
import org.trefoilbarrow.transport.peer.ConfigurationPuller;
import org.trefoilbarrow.transport.peer.PeerDirectory;
import org.trefoilbarrow.transport.peer.PermitBorrower;
import org.trefoilbarrow.transport.peer.SeedJoiner;
import org.trefoilbarrow.transport.peer.StaticTokenSource;
import org.trefoilbarrow.transport.peer.TokenService;
import org.trefoilbarrow.transport.peer.TokenSource;
import org.trefoilbarrow.transport.platform.ConfigurationStore;
import org.trefoilbarrow.transport.platform.HttpPlatform;

/** Creates the components of a host that runs with {@code serve}. */
final class HostModule extends AbstractModule {
  /** The identifiers of loans start at the incarnation, shifted left by this many bits. */
  private static final int LOAN_IDENTIFIER_BITS = 20;

  private static final int MAX_PLATFORM_CONNECTIONS = 32;
  private static final int MAX_BACKEND_CONNECTIONS = 512;

  private final Settings settings;
  private final HostIdentity identity;

  HostModule(Settings settings, HostIdentity identity) {
    this.settings = checkNotNull(settings, "settings");
    this.identity = checkNotNull(identity, "identity");
  }

  @Override
  protected void configure() {
    bind(Settings.class).toInstance(settings);
    bind(LimitsSettings.class).toInstance(settings.limits());
    bind(BatchSettings.class).toInstance(settings.batch());
    bind(OperatorsSettings.class).toInstance(settings.operators());
    bind(HostIdentity.class).toInstance(identity);
    bind(ConfigurationTable.class).toInstance(new ConfigurationTable());
    bind(JobManifestTable.class).toInstance(new JobManifestTable());
    bind(ActiveRequests.class).toInstance(new ActiveRequests());
  }

  @Provides
  @Named("nanos")
  LongSupplier nanoClock() {
    return System::nanoTime;
  }

  @Provides
  @Named("seconds")
  LongSupplier secondsClock() {
    InstantSource clock = InstantSource.system();
    return () -> clock.instant().getEpochSecond();
  }

  @Provides
  @Singleton
  HttpPlatform httpPlatform(@Named("nanos") LongSupplier nanoClock) {
    Duration timeout = Duration.ofMillis(settings.platform().timeoutMillis());
    return new HttpPlatform(
        HttpClients.pooled(timeout, MAX_PLATFORM_CONNECTIONS),
        settings.platform().address(),
        timeout,
        settings.platform().callsPerSecond(),
        nanoClock);
  }

  @Provides
  Platform platform(HttpPlatform platform) {
    return platform;
  }

  @Provides
  @Singleton
  ConfirmedWrites confirmedWrites(Platform platform) {
    return new ConfirmedWrites(platform, time -> Thread.sleep(time.toMillis()));
  }

  @Provides
  @Singleton
  ConfigurationStore configurationStore(
      Platform platform, ConfirmedWrites writes, ConfigurationTable table) {
    return new ConfigurationStore(platform, writes, table);
  }

  @Provides
  @Singleton
  MembershipView membershipView() {
    PeersSettings peers = settings.peers();
    return new MembershipView(
        identity.host(),
        Duration.ofMillis(peers.suspectAfterMillis()),
        Duration.ofMillis(peers.forgetAfterMillis()));
  }

  @Provides
  @Singleton
  ShareLeases shareKeeper() {
    SharesSettings shares = settings.shares();
    ShareRules rules =
        new ShareRules(
            shares.count(),
            Duration.ofMillis(shares.leaseMillis()),
            Duration.ofMillis(shares.claimWaitMillis()),
            Duration.ofMillis(shares.clockMarginMillis()));
    return new ShareLeases(rules, identity.host(), identity.incarnation());
  }

  @Provides
  @Singleton
  PeerDirectory peerDirectory(MembershipView membership, @Named("nanos") LongSupplier nanoClock) {
    Duration timeout = Duration.ofMillis(settings.peers().timeoutMillis());
    return new PeerDirectory(membership, settings.host().address(), timeout, nanoClock);
  }

  @Provides
  @Singleton
  TokenService tokenService(
      ConfigurationTable configuration,
      MembershipView membership,
      ShareLeases shares,
      PermitScheduler permits,
      PeerDirectory directory,
      HostStatus status,
      HostServingState servingState,
      @Named("nanos") LongSupplier nanoClock) {
    SharesSettings sharesSettings = settings.shares();
    TokenRules rules =
        new TokenRules(
            sharesSettings.count(),
            Duration.ofMillis(sharesSettings.delegationMillis()),
            Duration.ofMillis(sharesSettings.loanMillis()),
            Duration.ofMillis(sharesSettings.marginMillis()));
    return new TokenService(
        rules,
        status,
        configuration,
        membership,
        shares,
        permits,
        directory,
        servingState::isLeaving,
        nanoClock);
  }

  /** Returns the status of this host at its start. */
  @Provides
  @Singleton
  HostStatus hostStatus() {
    HostSettings host = settings.host();
    return new HostStatus(
        identity.host(),
        identity.incarnation(),
        host.peerAddress(),
        host.callerAddress(),
        FailureDomainId.of(host.failureDomain()),
        false,
        0);
  }

  @Provides
  @Singleton
  SeedJoiner seedJoiner(
      PeerDirectory directory,
      MembershipView membership,
      HostStatus status,
      @Named("nanos") LongSupplier nanoClock) {
    return new SeedJoiner(directory, membership, status, settings.peers().seeds(), nanoClock);
  }

  @Provides
  @Singleton
  TokenSource tokenSource(
      TokenService delegated,
      ConfigurationTable configuration,
      @Named("nanos") LongSupplier nanoClock) {
    int hosts = settings.shares().staticHosts();
    return hosts == 0 ? delegated : new StaticTokenSource(configuration, hosts, nanoClock);
  }

  @Provides
  @Singleton
  ConfigurationPuller configurationPuller(
      PeerDirectory directory,
      MembershipView membership,
      ConfigurationTable table,
      @Named("nanos") LongSupplier nanoClock) {
    return new ConfigurationPuller(directory, membership, table, nanoClock);
  }

  @Provides
  @Singleton
  HostServingState hostServingState(
      HttpPlatform platform,
      MembershipView membership,
      ShareLeases shares,
      @Named("nanos") LongSupplier nanoClock) {
    IsolationDetector detector =
        new IsolationDetector(
            Duration.ofMillis(settings.isolation().afterMillis()), platform, membership);
    return new HostServingState(
        () -> detector.isIsolated(nanoClock.getAsLong()),
        () -> !shares.usable(nanoClock.getAsLong()).isEmpty());
  }

  @Provides
  @Singleton
  PermitScheduler permitScheduler() {
    BackendsSettings backends = settings.backends();
    PermitRules rules =
        new PermitRules(
            Duration.ofMillis(backends.coldForMillis()),
            Duration.ofMillis(backends.rampForMillis()),
            Duration.ofMillis(backends.idleForMillis()),
            Duration.ofMillis(backends.retryAfterMillis()),
            Duration.ofMillis(backends.maxRetryAfterMillis()),
            Duration.ofMillis(backends.peakWindowMillis()),
            Duration.ofMillis(settings.shares().delegationMillis()),
            Duration.ofMillis(settings.shares().marginMillis()));
    return new PermitScheduler(
        rules,
        backendChoice(),
        settings.shares().count(),
        identity.incarnation() << LOAN_IDENTIFIER_BITS);
  }

  private BackendChoice backendChoice() {
    return switch (settings.backends().choice()) {
      case LOAD_AND_AFFINITY ->
          BackendChoice.byLoadAndAffinity(FailureDomainId.of(settings.host().failureDomain()));
      case LEAST_IN_PROGRESS -> BackendChoice.leastInProgress();
      case IN_TURN -> BackendChoice.roundRobin();
    };
  }

  @Provides
  @Singleton
  PermitBorrower permitBorrower(
      PermitScheduler scheduler,
      MembershipView membership,
      PeerDirectory directory,
      HostStatus status,
      HostServingState servingState,
      PermitQueue permitQueue,
      @Named("nanos") LongSupplier nanoClock) {
    return new PermitBorrower(
        scheduler,
        membership,
        directory,
        status,
        servingState::isLeaving,
        permitQueue::assignPermits,
        nanoClock);
  }

  @Provides
  @Singleton
  PermitQueue permitQueue(PermitScheduler scheduler, @Named("nanos") LongSupplier nanoClock) {
    return new PermitQueue(scheduler, nanoClock);
  }

  @Provides
  @Singleton
  BackendClient backendClient(PermitScheduler scheduler, @Named("nanos") LongSupplier nanoClock) {
    return new BackendClient(scheduler, connectTimeout(), MAX_BACKEND_CONNECTIONS, nanoClock);
  }

  @Provides
  @Singleton
  LoadMonitor loadMonitor(
      PermitScheduler scheduler,
      BackendClient client,
      ConfigurationTable configuration,
      @Named("nanos") LongSupplier nanoClock) {
    return new LoadMonitor(
        scheduler,
        () -> BackendConfiguration.read(configuration),
        client::onUnresponsiveConnections,
        connectTimeout(),
        Duration.ofMillis(settings.backends().reportEveryMillis()),
        nanoClock);
  }

  @Provides
  @Singleton
  OnlineDispatcher onlineDispatcher(
      PermitQueue permitQueue, BackendClient client, @Named("nanos") LongSupplier nanoClock) {
    return new OnlineDispatcher(
        permitQueue,
        client,
        settings.limits().maxAnswerBytes(),
        settings.backends().retriesForEachRequest(),
        settings.backends().maxSavedRetries(),
        nanoClock);
  }

  @Provides
  @Singleton
  RecordedCalls recordedCalls(
      Platform platform,
      ConfirmedWrites writes,
      OnlineDispatcher dispatcher,
      @Named("seconds") LongSupplier secondsClock) {
    return new RecordedCalls(platform, writes, dispatcher::call, secondsClock);
  }

  @Provides
  @Singleton
  RunningCalls runningCalls(
      ConfigurationTable configuration, @Named("nanos") LongSupplier nanoClock) {
    return new RunningCalls(
        configuration, Duration.ofMillis(settings.backends().stallTimeoutMillis()), nanoClock);
  }

  @Provides
  @Singleton
  OrganisationMetrics organisationMetrics(MetricRegistry registry) {
    return new OrganisationMetrics(registry);
  }

  @Provides
  @Singleton
  FileStore fileStore(
      Platform platform, ConfirmedWrites writes, @Named("seconds") LongSupplier secondsClock) {
    return new FileStore(platform, writes, settings.limits().maxBodyBytes(), secondsClock);
  }

  @Provides
  @Singleton
  JobStore jobStore(
      Platform platform,
      ConfirmedWrites writes,
      JobManifestTable jobs,
      @Named("seconds") LongSupplier secondsClock) {
    return new JobStore(platform, writes, jobs, secondsClock);
  }

  @Provides
  @Singleton
  LateJobMonitor lateJobMonitor(
      JobManifestTable jobs,
      JobStore store,
      MembershipView membership,
      @Named("seconds") LongSupplier secondsClock,
      @Named("nanos") LongSupplier nanoClock) {
    return new LateJobMonitor(
        jobs,
        store,
        job -> isMonitoredHere(job, membership.livePeers(nanoClock.getAsLong())),
        secondsClock);
  }

  private boolean isMonitoredHere(JobId job, List<HostStatus> livePeers) {
    Set<HostId> hosts = new HashSet<>();
    hosts.add(identity.host());
    livePeers.forEach(peer -> hosts.add(peer.host()));
    return Rendezvous.owner("job/" + job, hosts).equals(Optional.of(identity.host()));
  }

  @Provides
  @Singleton
  BatchRunner batchRunner(
      Platform platform,
      ConfirmedWrites writes,
      ConfigurationTable configuration,
      JobManifestTable jobs,
      JobStore jobStore,
      FileStore files,
      TokenSource tokens,
      PermitQueue permitQueue,
      BackendClient client,
      MembershipView membership,
      OrganisationMetrics metrics,
      @Named("nanos") LongSupplier nanoClock) {
    return BatchRunnerFactory.createRunner(
        settings.batch(),
        identity.host(),
        identity.incarnation(),
        platform,
        writes,
        configuration,
        jobs,
        jobStore,
        files,
        tokens,
        permitQueue,
        new BatchCalls(client, permitQueue, settings.limits().maxBodyBytes()),
        state ->
            state.holder() != null && membership.isSuperseded(state.holder(), state.incarnation()),
        (organisation, nanos) -> metrics.of(organisation).onServed(WorkClass.BATCH, nanos),
        nanoClock);
  }

  private Duration connectTimeout() {
    return Duration.ofMillis(settings.backends().connectTimeoutMillis());
  }
}
