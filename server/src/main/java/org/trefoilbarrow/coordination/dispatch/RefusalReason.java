package org.trefoilbarrow.coordination.dispatch;

/** Why a demand gets no slot. */
public enum RefusalReason {
  /** The expected wait would exceed the objective. */
  TOO_LONG_A_WAIT,
  /** The work waited past its objective; a slot may be free later. */
  WAITED_TOO_LONG,
  /** The organisation is over its rate. */
  OVER_RATE,
  /** No backend server of the service accepts requests. */
  NO_BACKEND,
  /** A part of its prompt ends the backend servers that begin to answer it. */
  QUARANTINED
}
