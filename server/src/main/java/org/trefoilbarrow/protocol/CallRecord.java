package org.trefoilbarrow.protocol;

import org.jspecify.annotations.Nullable;

/**
 * The stored record of a non-idempotent call with an idempotency key. It is written first as an
 * intent, before the call, and then with the outcome.
 *
 * @param requestDigest the digest of the call, by which a repeated request is recognised
 * @param attempt the request that wrote the intent, so that no two intents are equal
 * @param intendedAtSeconds the time of the intent, in seconds since the epoch
 * @param outcome the recorded outcome, or null while the call may or may not have run
 */
public record CallRecord(
    String requestDigest, String attempt, long intendedAtSeconds, @Nullable Outcome outcome) {

  /**
   * The backend server's response.
   *
   * @param status the HTTP status
   * @param contentType the content type, or null if the response had none
   * @param body the body, encoded as base64, or its first part
   * @param furtherParts the number of further parts of the encoded body, in objects of their own
   */
  public record Outcome(int status, @Nullable String contentType, String body, int furtherParts) {}

  /** Returns the intent to make a call. */
  public static CallRecord intent(String requestDigest, String attempt, long nowSeconds) {
    return new CallRecord(requestDigest, attempt, nowSeconds, null);
  }

  /** Returns this record with the given outcome. */
  public CallRecord withOutcome(Outcome newOutcome) {
    return new CallRecord(requestDigest, attempt, intendedAtSeconds, newOutcome);
  }
}
