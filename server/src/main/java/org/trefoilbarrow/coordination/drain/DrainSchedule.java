package org.trefoilbarrow.coordination.drain;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The steps of a shutdown that cuts no request. A balancer sends new callers for a while, and goes
 * on to do so if it has no other host. Once it can have found the host not ready, only requests are
 * served that end before the process must exit, whatever they turn out to need; callers can send
 * the others elsewhere at once.
 *
 * <p>Immutable.
 */
public final class DrainSchedule {
  /** How long new connections still arrive after a host reported that it is not ready. */
  private static final Duration UNREADY_GRACE_PERIOD = Duration.ofMillis(2600);

  /** The part of the shutdown time that is reserved for the exit of the process. */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(500);

  private final long startNanos;
  private final Duration limit;

  private DrainSchedule(long startNanos, Duration limit) {
    checkArgument(!limit.isNegative(), "limit must not be negative: %s", limit);
    this.startNanos = startNanos;
    this.limit = limit;
  }

  /**
   * Returns the schedule of a shutdown.
   *
   * @param startNanos when the host was told to stop
   * @param limit the time after which the process is killed
   */
  public static DrainSchedule of(long startNanos, Duration limit) {
    return new DrainSchedule(startNanos, limit);
  }

  /**
   * Returns whether a new request is served; others are refused.
   *
   * @param maxNanos the longest time that the request may take
   */
  public boolean acceptsRequest(long maxNanos, long nowNanos) {
    long elapsedNanos = nowNanos - startNanos;
    long balancerNanos = Math.min(UNREADY_GRACE_PERIOD.toNanos(), limit.toNanos() / 2);
    return elapsedNanos < balancerNanos || maxNanos <= endNanos() - elapsedNanos;
  }

  /** Returns whether connections without a request are closed. */
  public boolean closesIdleConnections(long nowNanos) {
    return nowNanos - startNanos >= UNREADY_GRACE_PERIOD.toNanos();
  }

  /** Returns whether the process must exit even if requests are in progress. */
  public boolean isOver(long nowNanos) {
    return nowNanos - startNanos >= endNanos();
  }

  private long endNanos() {
    return limit.minus(EXIT_MARGIN).toNanos();
  }
}
