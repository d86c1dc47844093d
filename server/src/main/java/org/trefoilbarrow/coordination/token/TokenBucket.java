package org.trefoilbarrow.coordination.token;

/** A token bucket for a fixed fraction of a grant, initially empty. Not thread-safe. */
public final class TokenBucket {
  private final double fraction;
  private final AccruingTokens tokens;

  /** Creates an empty bucket for the given fraction of a grant. */
  public TokenBucket(double fraction, long nowNanos) {
    AccruingTokens.checkFraction(fraction);
    this.fraction = fraction;
    this.tokens = new AccruingTokens(nowNanos);
  }

  /** Acquires a token if there is one; returns false otherwise. */
  public boolean tryAcquire(Grant grant, long nowNanos) {
    return tokens.tryAcquire(grant, fraction, nowNanos);
  }
}
