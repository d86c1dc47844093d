package org.trefoilbarrow.transport.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.trefoilbarrow.coordination.batch.DueForecast;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.state.JobManifestTable;

/**
 * Detects the jobs that will miss their due time, and logs each once.
 *
 * <p>Each job is checked by one host, so that the number of platform reads grows with the jobs and
 * not with the hosts. {@link #check} is used by one thread; the other methods are thread-safe.
 */
public final class LateJobMonitor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final JobManifestTable jobs;
  private final JobStore store;
  private final Predicate<JobId> isOwned;
  private final LongSupplier secondsClock;
  private volatile ImmutableSortedSet<String> late = ImmutableSortedSet.of();

  /**
   * Creates a monitor without late jobs.
   *
   * @param isOwned returns whether this host is the one that checks a job
   * @param secondsClock the time of day, in seconds since the epoch
   */
  public LateJobMonitor(
      JobManifestTable jobs, JobStore store, Predicate<JobId> isOwned, LongSupplier secondsClock) {
    this.jobs = checkNotNull(jobs, "jobs");
    this.store = checkNotNull(store, "store");
    this.isOwned = checkNotNull(isOwned, "isOwned");
    this.secondsClock = checkNotNull(secondsClock, "secondsClock");
  }

  /** Reads the progress of the jobs that this host owns. */
  public void check() {
    Set<String> found = new HashSet<>();
    for (JobManifest job : jobs.inProgress()) {
      if (isOwned.test(job.jobId()) && isLate(job)) {
        found.add(job.jobId().value());
      }
    }
    late = ImmutableSortedSet.copyOf(found);
  }

  /** Returns the identifiers of the jobs that were late at the last check. */
  public ImmutableSortedSet<String> late() {
    return late;
  }

  private boolean isLate(JobManifest job) {
    JobProgress progress = store.progress(job);
    int done = progress.completed() + progress.failed();
    DueForecast forecast = DueForecast.of(job, done, secondsClock.getAsLong());
    if (forecast.isLate() && !late.contains(job.jobId().value())) {
      logger.atWarning().log(
          "batch: job %s of %s will miss its due time, %s of %s items are done",
          job.jobId(), job.organisation(), done, job.itemCount());
    }
    return forecast.isLate();
  }
}
