package org.trefoilbarrow.coordination.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * Chooses the job from which this host claims its next segment: fair by weight between
 * organisations, by due time within one.
 *
 * <p>A job without a claimable segment is skipped for a while. Thread-safe.
 */
public final class JobChooser {
  private final long retryDelayNanos;
  private final Map<JobId, Long> notBeforeNanos = new HashMap<>();

  /** Creates a chooser that skips a job without claimable segments for the given time. */
  public JobChooser(long retryDelayNanos) {
    this.retryDelayNanos = retryDelayNanos;
  }

  /**
   * Returns the job to claim from, if any job may have a claimable segment.
   *
   * @param open the jobs in progress
   * @param running the segments that this host runs for each organisation
   * @param weight the weight of an organisation
   */
  public synchronized Optional<JobManifest> choose(
      Collection<JobManifest> open,
      Map<OrganisationId, Integer> running,
      ToIntFunction<OrganisationId> weight,
      long nowNanos) {
    List<JobManifest> candidates =
        open.stream()
            .filter(job -> notBeforeNanos.getOrDefault(job.jobId(), Long.MIN_VALUE) <= nowNanos)
            .toList();
    Comparator<JobManifest> leastServed =
        Comparator.comparingDouble(
            job ->
                (double) running.getOrDefault(job.organisation(), 0)
                    / weight.applyAsInt(job.organisation()));
    return candidates.stream()
        .min(
            leastServed
                .thenComparingLong(JobManifest::dueAtSeconds)
                .thenComparing(job -> job.jobId().value()));
  }

  /** Records that a job has no claimable segment now. */
  public synchronized void onNothingClaimable(JobId job, long nowNanos) {
    notBeforeNanos.put(job, nowNanos + retryDelayNanos);
  }

  /** Removes a job that ended. */
  public synchronized void remove(JobId job) {
    notBeforeNanos.remove(job);
  }
}
