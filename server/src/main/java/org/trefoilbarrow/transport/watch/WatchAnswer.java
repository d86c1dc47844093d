package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectPage;

/** What a peer answers to a watch. */
sealed interface WatchAnswer {
  /** The peer is not sure to hear from the platform, which has to be asked instead. */
  WatchAnswer UNAVAILABLE = new Unavailable();

  /** The changes after the revision of the watch. */
  record Changes(ChangeBatch batch) implements WatchAnswer {
    public Changes {
      checkNotNull(batch, "batch");
    }
  }

  /** All objects, as the peer no longer has the changes since the revision of the watch. */
  record Snapshot(ObjectPage page) implements WatchAnswer {
    public Snapshot {
      checkNotNull(page, "page");
    }
  }

  /** See {@link #UNAVAILABLE}. */
  record Unavailable() implements WatchAnswer {}
}
