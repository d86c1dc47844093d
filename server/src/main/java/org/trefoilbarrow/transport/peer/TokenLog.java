package org.trefoilbarrow.transport.peer;

import com.google.common.flogger.FluentLogger;

/**
 * Logs each acquired token, at debug level, so that the rate limit can be checked from the log. The
 * limits benchmark parses the line.
 */
final class TokenLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private TokenLog() {}

  /** Logs a token that was acquired at the given time of the host's monotonic clock. */
  static void acquired(String resource, long nanos) {
    logger.atFine().log("tokens: taken %s %s", resource, nanos);
  }
}
