package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;

/** A token bucket for a fixed fraction of a grant, initially empty. Not thread-safe. */
public final class TokenBucket {
  private final double fraction;
  private double level;
  private long advancedToNanos;

  /** Creates an empty bucket for the given fraction of a grant. */
  public TokenBucket(double fraction, long nowNanos) {
    checkArgument(
        fraction > 0 && fraction <= 1, "fraction must be above 0 and at most 1: %s", fraction);
    this.fraction = fraction;
    this.advancedToNanos = nowNanos;
  }

  /** Acquires a token if there is one; returns false otherwise. */
  public boolean tryAcquire(Grant grant, long nowNanos) {
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
