package org.trefoilbarrow.transport.peer;

/** What came of a request for a token. */
public enum AcquireResult {
  /** The token was taken. */
  ACQUIRED,
  /** The organisation is over its rate. */
  OVER_RATE,
  /** No token could be had in time, though the organisation may be within its rate. */
  UNAVAILABLE
}
