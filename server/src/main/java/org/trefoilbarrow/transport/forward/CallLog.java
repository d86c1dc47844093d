package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ObjectArrays;
import org.trefoilbarrow.protocol.BackendServerId;

/** Adds lines about one request of a caller to the event log. */
final class CallLog {
  private static final String PART = "forward";

  private final EventLog log;
  private final String requestId;

  CallLog(EventLog log, String requestId) {
    this.log = checkNotNull(log, "log");
    this.requestId = checkNotNull(requestId, "requestId");
  }

  /**
   * Adds a line about the request.
   *
   * @param fields names and values, alternating
   */
  void add(String event, Object... fields) {
    Object[] first = {"request", requestId};
    log.add(PART, event, ObjectArrays.concat(first, fields, Object.class));
  }

  /**
   * Adds a line about the attempt of the request at a backend server.
   *
   * @param fields names and values, alternating
   */
  void addAttempt(String event, BackendServerId backend, Object... fields) {
    Object[] first = {"backend", backend};
    add(event, ObjectArrays.concat(first, fields, Object.class));
  }
}
