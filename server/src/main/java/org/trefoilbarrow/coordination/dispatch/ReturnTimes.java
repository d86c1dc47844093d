package org.trefoilbarrow.coordination.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * When refused callers of one service may try again: one after the other, at the rate at which
 * slots are expected to be free after the queue of their organisation. Not thread-safe.
 */
final class ReturnTimes {
  private static final Duration MIN_DELAY = Duration.ofMillis(200);

  /** Callers honour a delay of up to this part of the time that they have left. */
  private static final double HONOURED_PART = 1.0 / 3;

  /** The part of an organisation's slots that callers who return are spread over. */
  private static final double CAPACITY_FOR_RETURNS = 0.5;

  private static final int MIN_ENTRIES_TO_EVICT = 64;

  private final Map<String, Long> nextReturns = new HashMap<>();
  private final DoubleSupplier random;
  private int evictionSize = MIN_ENTRIES_TO_EVICT;

  ReturnTimes(DoubleSupplier random) {
    this.random = random;
  }

  /**
   * Returns the delay after which a refused caller may try again, and keeps a place for it. A
   * caller for whom there is no place in the time that it honours gets a random time in it, unless
   * the queue alone takes longer.
   *
   * @param waitNanos the expected wait of the organisation's queue
   * @param slotIntervalNanos the expected time between two free slots of the organisation
   * @param remainingNanos the time that the caller has left
   */
  long nextDelayNanos(
      String organisation,
      long waitNanos,
      double slotIntervalNanos,
      long remainingNanos,
      long nowNanos) {
    evictPast(nowNanos);
    long earliest = Math.max(MIN_DELAY.toNanos(), waitNanos);
    long latest = (long) (remainingNanos * HONOURED_PART);
    long next = nextReturns.getOrDefault(organisation, nowNanos + earliest);
    long delay = Math.max(next - nowNanos, earliest);
    if (delay > latest) {
      return earliest + (long) (Math.max(0, latest - earliest) * random.getAsDouble());
    }
    nextReturns.put(
        organisation, nowNanos + delay + (long) (slotIntervalNanos / CAPACITY_FOR_RETURNS));
    return delay;
  }

  /** Returns how much longer a queue takes for callers that are to return and go before it. */
  double queueFactor(String organisation, long nowNanos) {
    Long next = nextReturns.get(organisation);
    return next != null && next - nowNanos > 0 ? 1 / (1 - CAPACITY_FOR_RETURNS) : 1;
  }

  private void evictPast(long nowNanos) {
    if (nextReturns.size() >= evictionSize) {
      nextReturns.values().removeIf(next -> next - nowNanos < 0);
      evictionSize = Math.max(MIN_ENTRIES_TO_EVICT, 2 * nextReturns.size());
    }
  }
}
