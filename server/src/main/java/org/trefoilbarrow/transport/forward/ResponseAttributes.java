package org.trefoilbarrow.transport.forward;

import java.util.Optional;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;

/**
 * The attributes that a backend server states in the headers of a response.
 *
 * @param requestId the identifier of the request that the response belongs to, if stated
 * @param signed whether the response has the backend server's signature, which every response to a
 *     processed request has
 * @param notRun whether the backend server states that it did not run the request
 * @param impliesNotRun whether callers take the status for the statement that the request did not
 *     run and never will
 * @param misdirected whether the backend server states that the request is meant for another one
 * @param leaving whether the backend server states that it is leaving
 * @param idleMillis how long the server keeps an idle connection open; 0 if unknown
 */
public record ResponseAttributes(
    Optional<String> requestId,
    boolean signed,
    boolean notRun,
    boolean impliesNotRun,
    boolean misdirected,
    boolean leaving,
    long idleMillis) {

  /**
   * Returns how the placement ended if the backend server certainly did not run the request.
   *
   * @param conditional whether the request states itself which servers may run it, so that its
   *     rejection does not show that the address belongs to another server
   */
  public Optional<PlacementResult> notRunResult(boolean conditional) {
    if (misdirected) {
      return Optional.of(conditional ? PlacementResult.CONDITION_FAILED : PlacementResult.REPLACED);
    }
    return notRun ? Optional.of(PlacementResult.NOT_RUN) : Optional.empty();
  }
}
