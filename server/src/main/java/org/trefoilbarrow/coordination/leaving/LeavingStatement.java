package org.trefoilbarrow.coordination.leaving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;

/**
 * A backend server's statement that it is leaving.
 *
 * @param backend the server
 * @param bornMillis when the start that made the statement began, in milliseconds since the epoch;
 *     0 if unknown
 * @param source the host that received the statement
 * @param statedNanos when it was received
 */
public record LeavingStatement(
    BackendServerId backend, long bornMillis, HostId source, long statedNanos) {
  /** Checks the components. */
  public LeavingStatement {
    checkNotNull(backend, "backend");
    checkNotNull(source, "source");
  }

  /** Returns whether the time of the start is known. */
  boolean isStartKnown() {
    return bornMillis != 0;
  }
}
