package org.trefoilbarrow.transport.batch;

import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.trefoilbarrow.coordination.batch.BatchRules;
import org.trefoilbarrow.coordination.batch.JobChooser;
import org.trefoilbarrow.coordination.batch.SegmentClaims;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.SegmentState;
import org.trefoilbarrow.settings.BatchSettings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.JobManifestTable;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.transport.backend.BatchCalls;
import org.trefoilbarrow.transport.backend.PermitQueue;
import org.trefoilbarrow.transport.peer.TokenSource;

/** Creates the {@link BatchRunner} of a host from its settings. */
public final class BatchRunnerFactory {
  private BatchRunnerFactory() {}

  /** Returns a runner; it does nothing before {@link BatchRunner#start}. */
  public static BatchRunner createRunner(
      BatchSettings settings,
      HostId self,
      long incarnation,
      Platform platform,
      ConfirmedWrites writes,
      ConfigurationTable configuration,
      JobManifestTable jobs,
      JobStore jobStore,
      FileStore files,
      TokenSource tokens,
      PermitQueue permits,
      BatchCalls calls,
      Predicate<SegmentState> isSuperseded,
      BatchRunner.ItemListener listener,
      LongSupplier nanoClock) {
    BatchRules rules =
        new BatchRules(
            Duration.ofMillis(settings.segmentLeaseMillis()),
            Duration.ofMillis(settings.checkpointEveryMillis()),
            settings.maxPartBytes(),
            settings.maxBufferedBytes(),
            Duration.ofMillis(settings.retryAfterMillis()));
    SegmentStore segments =
        new SegmentStore(
            platform,
            writes,
            files,
            new SegmentClaims(rules.segmentLease(), self),
            rules,
            self,
            incarnation,
            nanoClock);
    ItemRunner items =
        new ItemRunner(
            configuration, tokens, permits, calls, Duration.ofMillis(settings.itemTimeoutMillis()));
    return new BatchRunner(
        jobs,
        jobStore,
        segments,
        new JobChooser(Duration.ofMillis(settings.lookAgainMillis()).toNanos()),
        items,
        organisation -> weight(configuration, organisation),
        isSuperseded,
        listener,
        settings.concurrentSegments(),
        settings.concurrentItems(),
        nanoClock);
  }

  private static int weight(ConfigurationTable configuration, OrganisationId organisation) {
    return configuration
        .spec(EntityKind.ORGANISATION, organisation.value(), OrganisationSpec.class)
        .map(OrganisationSpec::weight)
        .orElse(1);
  }
}
