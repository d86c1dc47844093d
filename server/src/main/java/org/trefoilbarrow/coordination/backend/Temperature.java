package org.trefoilbarrow.coordination.backend;

/** The warm-up state of a backend server, which decides how many permits it has. */
public enum Temperature {
  /** Nothing is known yet, or no request has succeeded recently: one request at a time. */
  PROBING,
  /** The server has started recently and supports only its cold permits. */
  COLD,
  /** The permits grow from the cold permits to all. */
  RAMPING,
  /** The server supports all its permits. */
  WARM
}
