package org.trefoilbarrow.state.fleet;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of a request's headers, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeoutMillis the time limit for receiving a request's headers, in milliseconds
 * @param idleTimeoutMillis the time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** The limits that apply until a configuration has been received. */
  public static final CallerLimits INITIAL = new CallerLimits(16_384, 4_194_304, 5_000, 15_000);
}
