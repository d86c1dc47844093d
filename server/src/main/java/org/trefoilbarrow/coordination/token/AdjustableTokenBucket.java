package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A part of a grant that may change, as a token bucket that begins half full. Not thread-safe.
 *
 * <p>Half full, because a dispatcher that takes over from another does not know what was spent: the
 * overage that the grant's owner tolerates in a window is larger than half of a burst.
 */
public final class AdjustableTokenBucket {
  private static final double INITIAL_LEVEL = 0.5;

  private double level;
  private long advancedToNanos;
  private boolean filled;

  /** Creates a bucket. */
  public AdjustableTokenBucket(long nowNanos) {
    this.advancedToNanos = nowNanos;
  }

  /**
   * Takes a token if there is one.
   *
   * @param part the part of the grant that this bucket mints, above 0 and at most 1
   */
  public boolean tryAcquire(Grant grant, double part, long nowNanos) {
    checkArgument(part > 0 && part <= 1, "part must be above 0 and at most 1: %s", part);
    if (!filled) {
      filled = true;
      level = grant.capacity(part) * INITIAL_LEVEL;
    }
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
