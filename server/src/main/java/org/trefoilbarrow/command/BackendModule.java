package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import jakarta.inject.Named;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.BackendChoice;
import org.trefoilbarrow.coordination.backend.PermitRules;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.settings.BackendsSettings;
import org.trefoilbarrow.settings.Settings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.transport.backend.BackendClient;
import org.trefoilbarrow.transport.backend.LoadMonitor;
import org.trefoilbarrow.transport.backend.OnlineDispatcher;
import org.trefoilbarrow.transport.backend.PermitQueue;
import org.trefoilbarrow.transport.backend.RecordedCalls;
import org.trefoilbarrow.transport.http.HostServingState;
import org.trefoilbarrow.transport.http.RunningCalls;
import org.trefoilbarrow.transport.peer.PeerDirectory;
import org.trefoilbarrow.transport.peer.PermitBorrower;

/** Creates the components that send online requests to backend servers. */
final class BackendModule extends AbstractModule {
  /** The identifiers of loans start at the incarnation, shifted left by this many bits. */
  private static final int LOAN_IDENTIFIER_BITS = 20;

  private static final int MAX_BACKEND_CONNECTIONS = 512;

  private final Settings settings;
  private final HostIdentity identity;

  BackendModule(Settings settings, HostIdentity identity) {
    this.settings = checkNotNull(settings, "settings");
    this.identity = checkNotNull(identity, "identity");
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

  private Duration connectTimeout() {
    return Duration.ofMillis(settings.backends().connectTimeoutMillis());
  }
}
