package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The times of delegations and loans of tokens. All hosts must use the same.
 *
 * @param shareCount the number of shares into which each limit is divided
 * @param delegation the time that a delegation lasts, from the send of its request
 * @param loan the time that a loan lasts, from the send of its request
 * @param margin the time that the lender or holder waits longer than the requester, because clocks
 *     run at different rates
 */
public record TokenRules(int shareCount, Duration delegation, Duration loan, Duration margin) {
  /** Checks that a loan is shorter than a delegation. */
  public TokenRules {
    checkArgument(shareCount > 0, "shareCount must be positive: %s", shareCount);
    checkArgument(
        loan.compareTo(delegation) < 0,
        "loan %s must be shorter than delegation %s",
        loan,
        delegation);
  }

  /** Returns the longest time for which a delegated share may be in use at another host. */
  public Duration maxOutstandingTime() {
    return delegation.plus(margin);
  }
}
