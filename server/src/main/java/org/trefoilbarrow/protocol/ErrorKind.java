package org.trefoilbarrow.protocol;

import static org.trefoilbarrow.protocol.RunState.MAY_HAVE_RUN;
import static org.trefoilbarrow.protocol.RunState.NOT_RUN;

/**
 * The kinds of errors, each with its HTTP status, its code and whether the request may have run.
 *
 * <p>No other errors are reported to callers. docs/API.md lists the same kinds.
 */
public enum ErrorKind {
  INVALID_REQUEST(400, NOT_RUN, "invalid_request"),
  INVALID_KEY(401, NOT_RUN, "invalid_key"),
  NOT_PERMITTED(403, NOT_RUN, "not_permitted"),
  NOT_FOUND(404, NOT_RUN, "not_found"),
  VERSION_CONFLICT(409, NOT_RUN, "version_conflict"),
  IN_USE(409, NOT_RUN, "in_use"),
  BODY_TOO_LARGE(413, NOT_RUN, "body_too_large"),
  HEADERS_TOO_LARGE(431, NOT_RUN, "headers_too_large"),
  PROMPT_QUARANTINED(400, NOT_RUN, "prompt_quarantined"),
  IDEMPOTENCY_KEY_REUSED(422, NOT_RUN, "idempotency_key_reused"),
  PRECONDITION_REQUIRED(428, NOT_RUN, "precondition_required"),
  OVER_RATE(429, NOT_RUN, "over_rate"),
  GRANT_UNAVAILABLE(503, NOT_RUN, "grant_unavailable"),
  QUEUE_FULL(503, NOT_RUN, "queue_full"),
  NO_BACKEND_SERVER(503, NOT_RUN, "no_backend_server"),
  PLATFORM_UNAVAILABLE(503, NOT_RUN, "platform_unavailable"),
  HOST_ISOLATED(503, NOT_RUN, "host_isolated"),
  HOST_NOT_READY(503, NOT_RUN, "host_not_ready"),
  SHUTTING_DOWN(503, NOT_RUN, "shutting_down"),
  KEY_WITHDRAWN_IN_PROGRESS(401, MAY_HAVE_RUN, "key_withdrawn"),
  OUTCOME_UNKNOWN(409, MAY_HAVE_RUN, "outcome_unknown"),
  WRITE_OUTCOME_UNKNOWN(503, MAY_HAVE_RUN, "write_outcome_unknown"),
  BACKEND_FAILED(502, MAY_HAVE_RUN, "backend_failed"),
  BACKEND_TIMEOUT(504, MAY_HAVE_RUN, "backend_timeout"),
  INTERNAL(500, MAY_HAVE_RUN, "internal");

  private final int status;
  private final RunState runState;
  private final String code;

  ErrorKind(int status, RunState runState, String code) {
    this.status = status;
    this.runState = runState;
    this.code = code;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns whether the request may have run. */
  public RunState runState() {
    return runState;
  }

  /** Returns the code in the response's body. */
  public String code() {
    return code;
  }
}
