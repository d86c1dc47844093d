package org.trefoilbarrow.coordination.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.RequestJob;

/**
 * Chooses the host that runs a job. Hosts may differ in their choice for a while: an item then runs
 * more than once, and its result is still written once.
 */
public final class JobOwner {
  private JobOwner() {}

  /**
   * A host that may run jobs.
   *
   * @param host the host
   * @param startedMillis when its process started
   */
  public record Candidate(HostId host, long startedMillis) {}

  /**
   * Returns the host that runs a job: one that has run since before the job came, so that a host
   * that comes back does not take over jobs that others run by now.
   */
  public static Optional<HostId> of(RequestJob job, Collection<Candidate> candidates) {
    ImmutableList<HostId> older =
        candidates.stream()
            .filter(candidate -> candidate.startedMillis() <= job.submittedMillis())
            .map(Candidate::host)
            .collect(ImmutableList.toImmutableList());
    ImmutableList<HostId> all =
        candidates.stream().map(Candidate::host).collect(ImmutableList.toImmutableList());
    return Rendezvous.owner(job.id().value(), older.isEmpty() ? all : older);
  }
}
