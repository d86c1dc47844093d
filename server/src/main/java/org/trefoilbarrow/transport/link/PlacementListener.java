package org.trefoilbarrow.transport.link;

import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.state.fleet.BackendServer;

/** Receives the decisions on a demand that this host submitted. */
public interface PlacementListener {

  /** A slot at the given backend server was assigned to the demand. */
  void placed(BackendServer backend);

  /** The demand was refused; no slot is assigned to it. */
  void refused(RefusalReason reason, long retryAfterMillis);

  /** The slot of a batch item is needed for other work; the run must end. */
  void revoked();
}
