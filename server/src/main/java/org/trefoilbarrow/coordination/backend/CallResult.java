package org.trefoilbarrow.coordination.backend;

/** How a request to a backend server ended, as far as it shows the server's state. */
public enum CallResult {
  /** The server responded. */
  SUCCESS,
  /** The server refused the request before admission because it is starting. */
  WARMING,
  /** No connection could be opened. */
  UNREACHABLE,
  /** The connection broke, or the response was late or incomplete. */
  FAILURE,
  /**
   * The connection became unresponsive while new ones work; this shows nothing about the server.
   */
  DISCONNECTED,
  /** The host cancelled the request; this shows nothing about the server. */
  CANCELLED
}
