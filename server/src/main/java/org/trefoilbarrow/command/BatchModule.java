package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import jakarta.inject.Named;
import jakarta.inject.Singleton;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.WorkClass;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.settings.Settings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.JobManifestTable;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.transport.backend.BackendClient;
import org.trefoilbarrow.transport.backend.BatchCalls;
import org.trefoilbarrow.transport.backend.PermitQueue;
import org.trefoilbarrow.transport.batch.BatchRunner;
import org.trefoilbarrow.transport.batch.BatchRunnerFactory;
import org.trefoilbarrow.transport.batch.FileStore;
import org.trefoilbarrow.transport.batch.JobStore;
import org.trefoilbarrow.transport.batch.LateJobMonitor;
import org.trefoilbarrow.transport.http.OrganisationMetrics;
import org.trefoilbarrow.transport.peer.TokenSource;

/** Creates the components that store and run batch jobs. */
final class BatchModule extends AbstractModule {
  private final Settings settings;
  private final HostIdentity identity;

  BatchModule(Settings settings, HostIdentity identity) {
    this.settings = checkNotNull(settings, "settings");
    this.identity = checkNotNull(identity, "identity");
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
}
