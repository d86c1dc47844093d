package org.trefoilbarrow.transport.peer;

import org.trefoilbarrow.protocol.OrganisationId;

/** Gives callers the tokens of their organisations. Thread-safe. */
public interface TokenSource {

  /**
   * Takes a token for an online request, waiting briefly if there is none.
   *
   * @return whether the token was taken, and if not, why
   */
  AcquireResult acquire(OrganisationId organisation) throws InterruptedException;

  /** Takes a token for a batch item if one is there and no online request waits. */
  boolean tryAcquireForBatch(OrganisationId organisation);
}
