package org.trefoilbarrow.coordination.dispatch;

/** How the use of a place ended. */
public enum PlacementResult {
  /** The backend server answered in full. */
  ANSWERED,
  /** The backend server said that it did not run the work. */
  NOT_RUN,
  /** The address belongs to another backend server now. */
  REPLACED,
  /** The connection broke, or the answer was spoilt. */
  FAILED,
  /** The backend server stayed silent for longer than it may. */
  STALLED,
  /** The caller left, or the work was interrupted. */
  CANCELLED
}
