package org.trefoilbarrow.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The recent changes of one collection, as the watches of this host returned them. Other hosts
 * continue their own watches from it. The oldest changes are dropped when it is full. Thread-safe.
 */
public final class ChangeLog {
  /** What a change takes besides its name and value. */
  private static final long CHANGE_OVERHEAD_CHARACTERS = 64;

  private final long maxCharacters;
  private final Deque<ChangeBatch> batches = new ArrayDeque<>();
  private long characters;
  private long startRevision;
  private long endRevision;
  private boolean started;

  /**
   * Creates an empty log.
   *
   * @param maxCharacters the most characters of all changes, above which the oldest are dropped
   */
  public ChangeLog(long maxCharacters) {
    checkArgument(maxCharacters > 0, "maxCharacters must be positive: %s", maxCharacters);
    this.maxCharacters = maxCharacters;
  }

  /**
   * Records the revision from which a watch begins. If it does not continue the last one, changes
   * may have been missed, and the log starts anew.
   */
  public synchronized void beginWatch(long afterRevision) {
    if (!started || afterRevision != endRevision) {
      started = true;
      batches.clear();
      characters = 0;
      startRevision = afterRevision;
      endRevision = afterRevision;
    }
  }

  /** Records what the watch returned that {@link #beginWatch} was called for last. */
  public synchronized void append(ChangeBatch batch) {
    checkNotNull(batch, "batch");
    if (!batch.changes().isEmpty()) {
      batches.addLast(batch);
      characters += size(batch);
    }
    endRevision = Math.max(endRevision, batch.revision());
    while (characters > maxCharacters) {
      ChangeBatch dropped = batches.removeFirst();
      characters -= size(dropped);
      startRevision = Math.max(startRevision, dropped.revision());
    }
  }

  /**
   * Returns the changes after a revision; none if there are none yet. Empty if the log does not go
   * back to the revision.
   */
  public synchronized Optional<ChangeBatch> since(long revision) {
    if (!started || revision < startRevision) {
      return Optional.empty();
    }
    if (revision >= endRevision) {
      return Optional.of(new ChangeBatch(revision, ImmutableList.of()));
    }
    ImmutableList.Builder<ObjectChange> changes = ImmutableList.builder();
    for (ChangeBatch batch : batches) {
      batch.changes().stream().filter(change -> change.version() > revision).forEach(changes::add);
    }
    return Optional.of(new ChangeBatch(Math.max(revision, endRevision), changes.build()));
  }

  /** Returns the newest revision of the log; 0 before the first watch. */
  public synchronized long endRevision() {
    return endRevision;
  }

  private static long size(ChangeBatch batch) {
    return batch.changes().stream()
        .mapToLong(
            change ->
                CHANGE_OVERHEAD_CHARACTERS
                    + change.name().length()
                    + change.value().map(String::length).orElse(0))
        .sum();
  }
}
