package org.trefoilbarrow.coordination.dispatch;

/** How work at a slot of a backend server ended. */
public enum PlacementResult {
  /** The backend server sent a complete response. */
  ANSWERED,
  /** The backend server reported that it did not run the work. */
  NOT_RUN,
  /** The address now belongs to another backend server. */
  REPLACED,
  /** The connection broke, or the response was malformed. */
  FAILED,
  /** The backend server sent nothing for longer than the stall timeout. */
  STALLED,
  /** The caller disconnected, or the work was interrupted. */
  CANCELLED,
  /** The work was not sent, since its host knows that the backend server is leaving or drained. */
  LEAVING,
  /** The backend server did not run the work, since it does not meet a condition of its caller. */
  CONDITION_FAILED
}
