package org.trefoilbarrow.transport.peer;

/** The result of acquiring a token. */
public enum AcquireResult {
  /** The token was acquired. */
  ACQUIRED,
  /** The organisation is over its rate. */
  OVER_RATE,
  /** No token was available in time, though the organisation may be within its rate. */
  UNAVAILABLE
}
