package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectPage;

/** What a peer answers to a watch. */
sealed interface WatchAnswer {
  /** The peer is not sure to hear from the platform, which has to be asked instead. */
  WatchAnswer UNAVAILABLE = new Unavailable();

  /** Returns the answer to a watch whose wait is over. */
  static WatchAnswer noChanges(long afterRevision) {
    return new Changes(new ChangeBatch(afterRevision, ImmutableList.of()));
  }

  /** Returns whether the answer tells of changes after a revision. */
  boolean isAfter(long revision);

  /** The changes after the revision of the watch. */
  record Changes(ChangeBatch batch) implements WatchAnswer {
    public Changes {
      checkNotNull(batch, "batch");
    }

    @Override
    public boolean isAfter(long revision) {
      return batch.revision() > revision && !batch.changes().isEmpty();
    }
  }

  /** All objects, as the peer no longer has the changes since the revision of the watch. */
  record Snapshot(ObjectPage page) implements WatchAnswer {
    public Snapshot {
      checkNotNull(page, "page");
    }

    @Override
    public boolean isAfter(long revision) {
      return page.revision() > revision;
    }
  }

  /** See {@link #UNAVAILABLE}. */
  record Unavailable() implements WatchAnswer {
    @Override
    public boolean isAfter(long revision) {
      return false;
    }
  }
}
