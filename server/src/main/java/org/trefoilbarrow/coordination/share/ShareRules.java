package org.trefoilbarrow.coordination.share;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The number of shares and the times of their leases. All hosts must use the same.
 *
 * @param count the number of shares into which each limit is divided
 * @param lease how long a share is held from the send of a claim or renewal
 * @param claimWait how long a claimed share stays unused, so that all that the former holder
 *     delegated has expired
 * @param clockMargin the most by which the clocks of two hosts may drift apart during a lease
 */
public record ShareRules(int count, Duration lease, Duration claimWait, Duration clockMargin) {
  /** Renewals during one lease, so that one lost renewal does not end the lease. */
  private static final int RENEWALS_PER_LEASE = 3;

  /** Checks that there are shares and that a lease is longer than two clock margins. */
  public ShareRules {
    checkArgument(count > 0, "count must be positive: %s", count);
    checkArgument(
        lease.compareTo(clockMargin.multipliedBy(2)) > 0,
        "lease %s must be longer than two clock margins of %s",
        lease,
        clockMargin);
  }

  long heldNanos() {
    return lease.minus(clockMargin).toNanos();
  }

  long claimAfterNanos() {
    return lease.plus(clockMargin).toNanos();
  }

  long renewEveryNanos() {
    return lease.toNanos() / RENEWALS_PER_LEASE;
  }
}
