package org.trefoilbarrow.transport.link;

import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.state.fleet.BackendServer;

/** Hears what became of a demand of this host. */
public interface PlacementListener {

  /** The demand has a place. */
  void placed(BackendServer backend);

  /** The demand gets no place. */
  void refused(RefusalReason reason, long retryAfterMillis);

  /** The place of a batch item is needed; the run must end. */
  void revoked();
}
