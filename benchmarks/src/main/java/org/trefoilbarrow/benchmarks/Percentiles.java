package org.trefoilbarrow.benchmarks;

import org.HdrHistogram.Histogram;

/** Reads percentiles of histograms of times in microseconds. */
final class Percentiles {
  static final double MICROS_IN_MILLI = 1000;

  private Percentiles() {}

  /** Returns the given percentile of a histogram, in milliseconds. */
  static double millis(Histogram micros, double percentile) {
    return micros.getValueAtPercentile(percentile) / MICROS_IN_MILLI;
  }
}
