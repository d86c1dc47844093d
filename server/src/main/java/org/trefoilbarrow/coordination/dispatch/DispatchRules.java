package org.trefoilbarrow.coordination.dispatch;

import java.time.Duration;

/**
 * The limits and times that the dispatcher applies.
 *
 * @param onlineReserveFraction the fraction of a service's slots that batch work leaves free for
 *     the next online requests
 * @param urgencyWindow the time before its objective from which a batch item is placed before other
 *     work and not interrupted; some peaks of online work are shorter
 * @param urgentItemFraction the fraction of a service's slots reserved for urgent items while
 *     online requests wait; a larger one would put batch work before online work
 * @param lateWaitFraction the fraction of the time between objective and deadline for which a
 *     repeated request is kept waiting
 * @param initialServiceTime the service time assumed until one is measured
 * @param coldRateFraction the fraction of a cold backend server's tolerated rate that is used;
 *     below 1 because a change of the dispatching host may briefly double the rate
 * @param penalty the time for which a backend server that failed gets only work that no other
 *     server has a slot for; doubled by each further failure
 * @param maxPenalty the longest penalty
 * @param replacementPause how long a server gets no work after a request was rejected as meant for
 *     another one at its address; doubled by each further such rejection. It has an end since the
 *     entry at the platform, which is still there, is the better witness
 * @param maxReplacementPause the longest such pause
 * @param leavingReportValidity how long a server gets no work after a host reported that it is
 *     leaving; short, since the report of a host with an outdated view is wrong
 * @param lostHostRetention how long the slots of an unresponsive host count as in use
 */
public record DispatchRules(
    double onlineReserveFraction,
    Duration urgencyWindow,
    double urgentItemFraction,
    double lateWaitFraction,
    Duration initialServiceTime,
    double coldRateFraction,
    Duration penalty,
    Duration maxPenalty,
    Duration replacementPause,
    Duration maxReplacementPause,
    Duration leavingReportValidity,
    Duration lostHostRetention) {
  /** The default rules. */
  public static final DispatchRules DEFAULT =
      new DispatchRules(
          0.05,
          Duration.ofSeconds(2),
          0.25,
          0.3,
          Duration.ofMillis(500),
          0.8,
          Duration.ofMillis(500),
          Duration.ofSeconds(4),
          Duration.ofSeconds(1),
          Duration.ofSeconds(8),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2));

  /** Returns how many of the slots of a service are reserved for urgent items. */
  int urgentSlots(int total) {
    return (int) (total * urgentItemFraction);
  }
}
