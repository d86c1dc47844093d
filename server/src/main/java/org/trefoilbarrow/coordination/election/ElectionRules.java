package org.trefoilbarrow.coordination.election;

import java.time.Duration;

/**
 * The times that an election applies.
 *
 * @param holderTimeout how long no host in contact with a candidate reaches the holder before the
 *     candidate takes over; longer than a lost connection needs to be replaced
 * @param isolatedHolderTimeout the same for a candidate that reaches less than half of the hosts,
 *     which may itself be the one that is cut off
 * @param rankStep the further wait of a candidate for each candidate of a lower rank, so that they
 *     do not compete
 * @param retryDelay the delay after an attempt that the platform did not confirm
 * @param maxHolderOutage how long a holder without the platform continues before it resigns; its
 *     knowledge of backend servers ages meanwhile
 * @param settleTime how long a host stays with the former holder until it reaches the new one
 * @param reportWindow how long a new holder leaves the slots of hosts that have not reported their
 *     running work unused
 */
public record ElectionRules(
    Duration holderTimeout,
    Duration isolatedHolderTimeout,
    Duration rankStep,
    Duration retryDelay,
    Duration maxHolderOutage,
    Duration settleTime,
    Duration reportWindow) {
  /** The default rules. */
  public static final ElectionRules DEFAULT =
      new ElectionRules(
          Duration.ofMillis(1000),
          Duration.ofMillis(4000),
          Duration.ofMillis(200),
          Duration.ofMillis(500),
          Duration.ofSeconds(8),
          Duration.ofMillis(300),
          Duration.ofMillis(1000));
}
