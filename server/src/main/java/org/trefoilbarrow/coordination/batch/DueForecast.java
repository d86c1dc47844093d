package org.trefoilbarrow.coordination.batch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;
import org.trefoilbarrow.protocol.JobManifest;

/**
 * A forecast of when a job will end at its rate so far, and whether that is after its due time.
 *
 * <p>During the first fraction of its time, a job without any result is not reported as late,
 * because it may be waiting for jobs that are due before it.
 */
public final class DueForecast {
  /** The fraction of its time before which a job without results is not late. */
  private static final double NO_RESULT_GRACE_FRACTION = 0.1;

  private final OptionalLong expectedEndSeconds;
  private final boolean late;

  private DueForecast(OptionalLong expectedEndSeconds, boolean late) {
    this.expectedEndSeconds = expectedEndSeconds;
    this.late = late;
  }

  /**
   * Forecasts a job that is in progress.
   *
   * @param done the number of items that ended, as completed or failed
   * @param nowSeconds the present time, in seconds since the epoch
   */
  public static DueForecast of(JobManifest job, int done, long nowSeconds) {
    checkArgument(
        done >= 0 && done <= job.itemCount(),
        "done must be between 0 and the number of items: %s",
        done);
    long elapsed = Math.max(0, nowSeconds - job.createdAtSeconds());
    if (done == 0) {
      long window = job.dueAtSeconds() - job.createdAtSeconds();
      boolean graceOver =
          nowSeconds > job.dueAtSeconds() || elapsed > window * NO_RESULT_GRACE_FRACTION;
      return new DueForecast(OptionalLong.empty(), graceOver && job.itemCount() > 0);
    }
    double secondsPerItem = (double) elapsed / done;
    long remainingSeconds = (long) Math.ceil(secondsPerItem * (job.itemCount() - done));
    long end = nowSeconds + remainingSeconds;
    return new DueForecast(OptionalLong.of(end), end > job.dueAtSeconds());
  }

  /** Returns the expected end in seconds since the epoch; empty while nothing is done. */
  public OptionalLong expectedEndSeconds() {
    return expectedEndSeconds;
  }

  /** Returns whether the job is expected to miss its due time. */
  public boolean isLate() {
    return late;
  }
}
