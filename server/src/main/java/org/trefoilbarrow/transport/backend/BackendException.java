package org.trefoilbarrow.transport.backend;

import org.trefoilbarrow.coordination.backend.CallResult;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.RunState;

/** Thrown if a request to a backend server gets no full response. */
final class BackendException extends Exception {
  private static final long serialVersionUID = 1L;

  private final CallResult result;
  private final ErrorKind kind;

  BackendException(CallResult result, ErrorKind kind, String message) {
    super(message);
    this.result = result;
    this.kind = kind;
  }

  BackendException(CallResult result, ErrorKind kind, String message, Throwable cause) {
    super(message, cause);
    this.result = result;
    this.kind = kind;
  }

  CallResult result() {
    return result;
  }

  ErrorKind kind() {
    return kind;
  }

  boolean isNotRun() {
    return kind.runState() == RunState.NOT_RUN;
  }
}
