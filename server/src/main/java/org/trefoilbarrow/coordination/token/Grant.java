package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The rate and burst that an organisation is granted over all hosts together.
 *
 * @param tokensPerSecond the rate at which tokens accrue
 * @param burst the maximum number of unspent tokens
 * @param version the configuration version that sets the grant
 */
public record Grant(double tokensPerSecond, double burst, long version) {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Checks that the rate and the burst are positive. */
  public Grant {
    checkArgument(tokensPerSecond > 0, "tokensPerSecond must be positive: %s", tokensPerSecond);
    checkArgument(burst > 0, "burst must be positive: %s", burst);
  }

  /** Returns the tokens that the given fraction of the grant accrues in the given time. */
  double accrued(double fraction, long nanos) {
    return Math.max(0, nanos) / NANOS_PER_SECOND * tokensPerSecond * fraction;
  }

  /** Returns the time until an empty grant is full, in nanoseconds. */
  long fillNanos() {
    return (long) Math.ceil(burst / tokensPerSecond * NANOS_PER_SECOND);
  }

  /** Returns the maximum number of tokens that the given fraction of the grant may hold. */
  double capacity(double fraction) {
    return burst * fraction;
  }
}
