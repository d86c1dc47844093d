package org.trefoilbarrow.coordination.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.RequestJob;

/**
 * Chooses the host that runs a job. While hosts differ in their choice, an item may run more than
 * once; its result is still written once.
 */
public final class JobOwner {
  private JobOwner() {}

  /**
   * A host that may run jobs.
   *
   * @param host the host
   * @param startedMillis the time at which its process started
   */
  public record Candidate(HostId host, long startedMillis) {}

  /**
   * Returns the host that runs a job: one that was already running when the job was submitted, if
   * there is any, so that a restarted host does not take over jobs that others now run.
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
