package org.trefoilbarrow.coordination.dispatch;

import org.trefoilbarrow.protocol.WorkSize;

/** The slot time that the online requests of a service take, by their size. Not thread-safe. */
final class SlotTimes {
  private static final double WEIGHT_OF_NEW = 0.05;

  /** The number of prompt tokens that are prefilled in the time of one output token. */
  private static final double PROMPT_TOKENS_PER_STEP = 300;

  /** Bounds the effect of a size that a caller states wrongly. */
  private static final double MAX_FACTOR = 8;

  private double meanNanos;
  private double meanSteps;

  /**
   * Creates an estimate without measurements.
   *
   * @param initialNanos the mean slot time assumed until a request is measured
   */
  SlotTimes(double initialNanos) {
    this.meanNanos = initialNanos;
  }

  /** Returns the mean slot time in nanoseconds. */
  double meanNanos() {
    return meanNanos;
  }

  /** Returns the expected slot time of a request in nanoseconds. */
  double expectedNanos(WorkSize size) {
    if (!size.isKnown() || meanSteps == 0) {
      return meanNanos;
    }
    double factor = steps(size) / meanSteps;
    return meanNanos * Math.max(1 / MAX_FACTOR, Math.min(MAX_FACTOR, factor));
  }

  /** Adds a measured slot time. */
  void record(WorkSize size, long nanos) {
    meanNanos += WEIGHT_OF_NEW * (nanos - meanNanos);
    if (size.isKnown()) {
      double steps = steps(size);
      meanSteps += (meanSteps == 0 ? 1 : WEIGHT_OF_NEW) * (steps - meanSteps);
    }
  }

  private static double steps(WorkSize size) {
    return size.outputTokens() + size.promptTokens() / PROMPT_TOKENS_PER_STEP;
  }
}
