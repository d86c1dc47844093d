package org.trefoilbarrow.coordination.token;

/**
 * A token bucket for a fraction of a grant that may change, initially half full. Not thread-safe.
 *
 * <p>It starts half full because a dispatcher that takes over from another does not know what was
 * spent: the overage that the grant's owner tolerates in a window is larger than half of a burst.
 */
public final class AdjustableTokenBucket {
  private static final double INITIAL_FILL_FRACTION = 0.5;

  private final AccruingTokens tokens;
  private boolean initialised;

  /** Creates a half-full bucket. */
  public AdjustableTokenBucket(long nowNanos) {
    this.tokens = new AccruingTokens(nowNanos);
  }

  /**
   * Acquires a token if there is one; returns false otherwise.
   *
   * @param fraction the fraction of the grant that accrues in this bucket, above 0 and at most 1
   */
  public boolean tryAcquire(Grant grant, double fraction, long nowNanos) {
    AccruingTokens.checkFraction(fraction);
    if (!initialised) {
      initialised = true;
      tokens.setLevel(grant.capacity(fraction) * INITIAL_FILL_FRACTION);
    }
    return tokens.tryAcquire(grant, fraction, nowNanos);
  }
}
