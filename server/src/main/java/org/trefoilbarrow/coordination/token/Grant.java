package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What an organisation may take over all hosts together.
 *
 * @param tokensPerSecond the rate
 * @param burst the most tokens that can be held unspent
 * @param version the configuration version that states the grant
 */
public record Grant(double tokensPerSecond, double burst, long version) {
  private static final double NANOS_IN_SECOND = 1e9;

  /** Checks the components, and copies those that could change. */
  public Grant {
    checkArgument(tokensPerSecond > 0, "tokensPerSecond must be positive: %s", tokensPerSecond);
    checkArgument(burst > 0, "burst must be positive: %s", burst);
  }

  /** Returns the tokens that the given part of the grant mints in the given time. */
  double accrued(double part, long nanos) {
    return Math.max(0, nanos) / NANOS_IN_SECOND * tokensPerSecond * part;
  }

  /** Returns the time in which an empty grant fills, in nanoseconds. */
  long fillNanos() {
    return (long) Math.ceil(burst / tokensPerSecond * NANOS_IN_SECOND);
  }

  /** Returns the most tokens that the given part of the grant may hold. */
  double capacity(double part) {
    return burst * part;
  }
}
