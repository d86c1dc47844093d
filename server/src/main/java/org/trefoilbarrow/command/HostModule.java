package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import jakarta.inject.Named;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.coordination.share.ShareRules;
import org.trefoilbarrow.coordination.token.TokenRules;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostStatus;
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
import org.trefoilbarrow.transport.backend.HttpClients;
import org.trefoilbarrow.transport.http.ActiveRequests;
import org.trefoilbarrow.transport.http.HostServingState;
import org.trefoilbarrow.transport.http.OrganisationMetrics;
import org.trefoilbarrow.transport.peer.ConfigurationPuller;
import org.trefoilbarrow.transport.peer.PeerDirectory;
import org.trefoilbarrow.transport.peer.SeedJoiner;
import org.trefoilbarrow.transport.peer.StaticTokenSource;
import org.trefoilbarrow.transport.peer.TokenService;
import org.trefoilbarrow.transport.peer.TokenSource;
import org.trefoilbarrow.transport.platform.ConfigurationStore;
import org.trefoilbarrow.transport.platform.HttpPlatform;

/**
 * Creates the components of a host that runs with {@code serve}, but for those of {@link
 * BackendModule} and {@link BatchModule}.
 */
final class HostModule extends AbstractModule {
  private static final int MAX_PLATFORM_CONNECTIONS = 32;

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
  OrganisationMetrics organisationMetrics(MetricRegistry registry) {
    return new OrganisationMetrics(registry);
  }
}
