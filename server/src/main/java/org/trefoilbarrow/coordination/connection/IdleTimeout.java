package org.trefoilbarrow.coordination.connection;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The time after which the connections of callers that have no request are closed. A longer one
 * applies at once, a shorter one when callers can know it. Not thread-safe.
 */
public final class IdleTimeout {
  /** The time within which a change of the configuration is known everywhere. */
  private static final Duration CHANGE_DELAY = Duration.ofSeconds(5);

  private long configuredMillis;
  private long heldMillis;
  private long changedNanos;

  /**
   * Records the configured timeout and returns the one that applies.
   *
   * @param configuredMillis the timeout of the newest configuration, in milliseconds
   * @param nowNanos the present time
   * @return the timeout for connections that become idle now, in milliseconds; a connection that is
   *     idle already keeps the longest one that was returned since
   */
  public long update(long configuredMillis, long nowNanos) {
    checkArgument(
        configuredMillis >= 0, "configuredMillis must not be negative: %s", configuredMillis);
    if (configuredMillis != this.configuredMillis) {
      this.configuredMillis = configuredMillis;
      changedNanos = nowNanos;
    }
    if (configuredMillis >= heldMillis || nowNanos - changedNanos >= CHANGE_DELAY.toNanos()) {
      heldMillis = configuredMillis;
    }
    return heldMillis;
  }
}
