package org.trefoilbarrow.protocol;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The body of a response that reports an error, in the published OpenAI shape with two additions.
 *
 * @param error the error
 */
public record ErrorResponse(Detail error) {

  /**
   * The details of the error.
   *
   * @param code the code of the error's kind
   * @param type the same code, for clients that read this field
   * @param message what was wrong
   * @param requestId the identifier of the request
   * @param run whether the request may have run
   */
  public record Detail(
      String code,
      String type,
      String message,
      @JsonProperty("request_id") String requestId,
      RunState run) {}

  /** Returns the response for an error of the given kind. */
  public static ErrorResponse of(ErrorKind kind, String message, String requestId) {
    return new ErrorResponse(
        new Detail(kind.code(), kind.code(), message, requestId, kind.runState()));
  }
}
