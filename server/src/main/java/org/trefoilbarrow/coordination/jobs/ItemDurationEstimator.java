package org.trefoilbarrow.coordination.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Estimates how long batch items run at backend servers, from the run times of completed items.
 * Under a load with which not all items can be on time, this shows before an item runs whether it
 * can. Not thread-safe.
 */
public final class ItemDurationEstimator {
  /** The weight of the newest time in the mean, which follows about the last ten items. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** The least expected remaining time as a fraction of the mean, however long an item has run. */
  private static final double MIN_REMAINING_FRACTION = 0.2;

  private double meanNanos;

  /**
   * Creates an estimator without measured times.
   *
   * @param initialMean the mean that is assumed until an item was measured
   */
  public ItemDurationEstimator(Duration initialMean) {
    this.meanNanos = checkNotNull(initialMean, "initialMean").toNanos();
  }

  /** Records how long a completed item ran. */
  public void record(long ranNanos) {
    meanNanos += NEWEST_WEIGHT * (ranNanos - meanNanos);
  }

  /** Returns how much longer an item is expected to run after it has run for the given time. */
  public long expectedRemainingNanos(long ranNanos) {
    return (long) Math.max(meanNanos * MIN_REMAINING_FRACTION, meanNanos - ranNanos);
  }
}
