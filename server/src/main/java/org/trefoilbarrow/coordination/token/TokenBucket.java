package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;

/** A fixed part of a grant, as a token bucket that begins empty. Not thread-safe. */
public final class TokenBucket {
  private final double part;
  private double level;
  private long advancedToNanos;

  /** Creates an empty bucket for the given part of a grant. */
  public TokenBucket(double part, long nowNanos) {
    checkArgument(part > 0 && part <= 1, "part must be above 0 and at most 1: %s", part);
    this.part = part;
    this.advancedToNanos = nowNanos;
  }

  /** Takes a token if there is one. */
  public boolean tryAcquire(Grant grant, long nowNanos) {
    double accrued = grant.accrued(part, nowNanos - advancedToNanos);
    level = Math.min(grant.capacity(part), level + accrued);
    advancedToNanos = Math.max(advancedToNanos, nowNanos);
    if (level < 1) {
      return false;
    }
    level -= 1;
    return true;
  }
}
