package org.trefoilbarrow.settings;

/**
 * The handling of backend servers.
 *
 * @param coldForMillis how long a backend server stays cold after its first success, in
 *     milliseconds
 * @param rampForMillis how long its permits then take to increase to all, in milliseconds
 * @param idleForMillis how long it may go without a success before it is probed, in milliseconds
 * @param retryAfterMillis the first retry delay for an unreachable backend server, in milliseconds
 * @param maxRetryAfterMillis the maximum retry delay, in milliseconds
 * @param peakWindowMillis how long batch work leaves permits free that online work used, in
 *     milliseconds
 * @param connectTimeoutMillis the timeout for opening a connection, in milliseconds
 * @param stallTimeoutMillis how long a started response may pause, in milliseconds
 * @param retriesForEachRequest the retries that each first attempt adds to the retry budget of its
 *     route
 * @param maxSavedRetries the maximum retry budget of a route
 * @param reportEveryMillis the interval of reading load reports, in milliseconds
 * @param choice how the backend server for a request is chosen
 */
public record BackendsSettings(
    int coldForMillis,
    int rampForMillis,
    int idleForMillis,
    int retryAfterMillis,
    int maxRetryAfterMillis,
    int peakWindowMillis,
    int connectTimeoutMillis,
    int stallTimeoutMillis,
    double retriesForEachRequest,
    int maxSavedRetries,
    int reportEveryMillis,
    Choice choice) {

  /** A way to choose the backend server for a request. */
  public enum Choice {
    /** By the fraction of permits in use, the failure domain and the prefix of the prompt. */
    LOAD_AND_AFFINITY,
    /** The backend server with the fewest requests of this host; a baseline for measurements. */
    LEAST_IN_PROGRESS,
    /** Round robin; a baseline for measurements. */
    IN_TURN
  }
}
