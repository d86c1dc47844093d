package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;

/** Tokens that accrue at a fraction of a grant, up to its capacity. Not thread-safe. */
final class AccruingTokens {
  private double level;
  private long advancedToNanos;

  /** Creates an instance without tokens. */
  AccruingTokens(long nowNanos) {
    this.advancedToNanos = nowNanos;
  }

  /** Checks that a fraction of a grant is above 0 and at most 1. */
  static void checkFraction(double fraction) {
    checkArgument(
        fraction > 0 && fraction <= 1, "fraction must be above 0 and at most 1: %s", fraction);
  }

  void setLevel(double level) {
    this.level = level;
  }

  /** Acquires a token if there is one; returns false otherwise. */
  boolean tryAcquire(Grant grant, double fraction, long nowNanos) {
    double accrued = grant.accrued(fraction, nowNanos - advancedToNanos);
    level = Math.min(grant.capacity(fraction), level + accrued);
    advancedToNanos = Math.max(advancedToNanos, nowNanos);
    if (level < 1) {
      return false;
    }
    level -= 1;
    return true;
  }
}
