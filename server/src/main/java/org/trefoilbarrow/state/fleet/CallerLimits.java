package org.trefoilbarrow.state.fleet;

/**
 * What a caller may send.
 *
 * @param maxHeaderBytes the most bytes of a request's head
 * @param maxBodyBytes the most bytes of a request's body
 * @param headerTimeoutMillis how long a request's head may take
 * @param idleTimeoutMillis how long a connection may stay idle
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** The limits of a host that knows no configuration yet. */
  public static final CallerLimits INITIAL = new CallerLimits(16_384, 4_194_304, 5_000, 15_000);
}
