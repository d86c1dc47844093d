package org.trefoilbarrow.coordination.dispatch;

import java.time.Duration;

/**
 * The bounds of dispatching.
 *
 * @param batchReserve the part of a service's places that batch work leaves free for the next
 *     online requests
 * @param urgentBefore how long before its objective an item is placed before other work and no
 *     longer interrupted: some peaks of online work pass in less
 * @param keptForUrgent the part of a service's places that urgent items keep while online requests
 *     wait; more would put batch work before online work
 * @param lateWaitPart the part of the time between objective and deadline for which a request of a
 *     caller that was refused before is kept waiting
 * @param firstServiceTime the service time that is assumed before any was measured
 * @param coldPart the part of a cold backend server's tolerated rate that is used, below 1 because
 *     a change of the dispatching host may double it for a moment
 * @param penalty how long a backend server that failed gets only what no other can take; doubled by
 *     each further failure
 * @param maxPenalty the longest penalty
 * @param lostHostKept how long places of a host that is no longer heard count as taken
 */
public record DispatchRules(
    double batchReserve,
    Duration urgentBefore,
    double keptForUrgent,
    double lateWaitPart,
    Duration firstServiceTime,
    double coldPart,
    Duration penalty,
    Duration maxPenalty,
    Duration lostHostKept) {
  /** The usual bounds. */
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
          Duration.ofSeconds(2));
}
