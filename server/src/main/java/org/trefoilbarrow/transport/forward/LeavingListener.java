package org.trefoilbarrow.transport.forward;

import org.trefoilbarrow.state.fleet.BackendServer;

/** Receives the statements of backend servers that they are leaving. */
@FunctionalInterface
public interface LeavingListener {
  /**
   * Called for each head of a response with such a statement, before the response is handled.
   *
   * @param backend the server, as it was listed when the connection was opened
   * @param status the status of the response
   */
  void stated(BackendServer backend, int status);
}
