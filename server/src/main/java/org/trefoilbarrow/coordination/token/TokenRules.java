package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The times that decide delegations and loans. All hosts must use the same.
 *
 * @param shareCount the number of shares into which each limit is cut
 * @param delegation how long a delegation lasts, from the send of its request
 * @param loan how long a loan lasts, from the send of its request
 * @param margin by how much longer a giver waits than an asker, for clocks that run apart
 */
public record TokenRules(int shareCount, Duration delegation, Duration loan, Duration margin) {
  /** Checks the components, and copies those that could change. */
  public TokenRules {
    checkArgument(shareCount > 0, "shareCount must be positive: %s", shareCount);
    checkArgument(
        loan.compareTo(delegation) < 0,
        "loan %s must be shorter than delegation %s",
        loan,
        delegation);
  }

  /** Returns the longest time for which something given away may be in use elsewhere. */
  public Duration maxOutstandingTime() {
    return delegation.plus(margin);
  }
}
