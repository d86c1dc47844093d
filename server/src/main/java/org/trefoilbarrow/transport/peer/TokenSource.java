package org.trefoilbarrow.transport.peer;

import org.trefoilbarrow.protocol.OrganisationId;

/** The source of the tokens that limit the rates of organisations. Thread-safe. */
public interface TokenSource {

  /**
   * Acquires a token for an online request, waiting briefly if none is available.
   *
   * @return whether the token was acquired, and if not, why
   */
  AcquireResult acquire(OrganisationId organisation) throws InterruptedException;

  /** Acquires a token for a batch item if one is available and no online request waits for one. */
  boolean tryAcquireForBatch(OrganisationId organisation);
}
