package org.trefoilbarrow.transport.backend;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.protocol.RequestId;

/**
 * An HTTP request to a backend server.
 *
 * @param requestId the identifier that the server echoes
 * @param method the HTTP method
 * @param path the path and query, beginning with a slash
 * @param contentType the content type, or null if there is no body
 * @param body the body, possibly empty
 * @param idempotent whether the request may be repeated after it may have run
 * @param timeout the longest time to the first byte of the response
 * @param firstAttempt whether this is the first attempt to send the request
 */
public record BackendRequest(
    RequestId requestId,
    String method,
    String path,
    @Nullable String contentType,
    byte[] body,
    boolean idempotent,
    Duration timeout,
    boolean firstAttempt) {

  /** Returns the first attempt of a request. */
  public static BackendRequest of(
      RequestId requestId,
      String method,
      String path,
      @Nullable String contentType,
      byte[] body,
      boolean idempotent,
      Duration timeout) {
    return new BackendRequest(
        requestId, method, path, contentType, body, idempotent, timeout, true);
  }

  /** Returns the next attempt of this request. */
  BackendRequest asRetry() {
    return new BackendRequest(
        requestId, method, path, contentType, body, idempotent, timeout, false);
  }

  /**
   * Returns whether the request may use a pooled connection, which may have been closed unnoticed.
   */
  boolean mayReuseConnection() {
    return idempotent && firstAttempt;
  }
}
