package org.trefoilbarrow.transport.link;

import org.trefoilbarrow.coordination.quarantine.QuarantineChange;

/** Receives the quarantines that this host has decided on. */
@FunctionalInterface
public interface QuarantineListener {
  /** Called on the event loop's thread for each quarantine that has begun or ended. */
  void changed(QuarantineChange change);
}
