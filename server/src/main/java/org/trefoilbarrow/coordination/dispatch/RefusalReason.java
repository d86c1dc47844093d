package org.trefoilbarrow.coordination.dispatch;

/** Why a demand gets no place. */
public enum RefusalReason {
  /** The wait would be longer than the objective. */
  TOO_LONG_A_WAIT,
  /** The work has waited for so long that it would end late; there may be room later. */
  WAITED_TOO_LONG,
  /** The organisation is over its grant. */
  OVER_RATE,
  /** No backend server of the service may take requests. */
  NO_BACKEND
}
