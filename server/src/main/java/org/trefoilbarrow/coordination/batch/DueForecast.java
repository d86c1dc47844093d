package org.trefoilbarrow.coordination.batch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;
import org.trefoilbarrow.protocol.JobManifest;

/**
 * When a job will end at its pace so far, and whether that is after its due time.
 *
 * <p>Within the first part of its time a job without a single result is not called late: it may
 * wait for others that are due before it.
 */
public final class DueForecast {
  /** A job without results is not called late before this part of its time. */
  private static final double PATIENCE = 0.1;

  private final OptionalLong expectedEndSeconds;
  private final boolean late;

  private DueForecast(OptionalLong expectedEndSeconds, boolean late) {
    this.expectedEndSeconds = expectedEndSeconds;
    this.late = late;
  }

  /**
   * Forecasts a job that is in progress.
   *
   * @param done the items that ended, as completed or failed
   * @param nowSeconds the present time, in seconds since the epoch
   */
  public static DueForecast of(JobManifest job, int done, long nowSeconds) {
    checkArgument(done >= 0 && done <= job.itemCount(), "done is not within 0 and all: %s", done);
    long elapsed = Math.max(0, nowSeconds - job.createdAtSeconds());
    if (done == 0) {
      long window = job.dueAtSeconds() - job.createdAtSeconds();
      boolean waitedLong = nowSeconds > job.dueAtSeconds() || elapsed > window * PATIENCE;
      return new DueForecast(OptionalLong.empty(), waitedLong && job.itemCount() > 0);
    }
    double secondsForItem = (double) elapsed / done;
    long left = (long) Math.ceil(secondsForItem * (job.itemCount() - done));
    long end = nowSeconds + left;
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
