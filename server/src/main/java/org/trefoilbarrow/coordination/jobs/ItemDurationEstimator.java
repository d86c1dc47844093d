package org.trefoilbarrow.coordination.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * How long batch items run at backend servers, learnt from those that were done. Answers loads
 * under which not all items can be on time: those that can't be are known before they run. Not
 * thread-safe.
 */
public final class ItemDurationEstimator {
  /** The part of the newest time in the mean: the last ten items or so decide. */
  private static final double WEIGHT = 0.1;

  /** The least part of the mean that is expected of an item, however long it ran already. */
  private static final double LEAST_PART = 0.2;

  private double meanNanos;

  /**
   * Creates times without any measured.
   *
   * @param first the time that is assumed until then
   */
  public ItemDurationEstimator(Duration first) {
    this.meanNanos = checkNotNull(first, "first").toNanos();
  }

  /** Records how long an item ran that was done. */
  public void record(long ranNanos) {
    meanNanos += WEIGHT * (ranNanos - meanNanos);
  }

  /** Returns how much longer an item is expected to run that ran for the given time. */
  public long expectedRemainingNanos(long ranNanos) {
    return (long) Math.max(meanNanos * LEAST_PART, meanNanos - ranNanos);
  }
}
