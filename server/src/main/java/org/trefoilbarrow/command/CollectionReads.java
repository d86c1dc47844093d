package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilbarrow.state.ObjectKind;

/** Which of the collections that a host watches have been read at least once. Thread-safe. */
final class CollectionReads {
  private final ImmutableSet<ObjectKind> watched;
  private final Set<ObjectKind> read = ConcurrentHashMap.newKeySet();

  CollectionReads(Collection<ObjectKind> watched) {
    this.watched = Sets.immutableEnumSet(checkNotNull(watched, "watched"));
  }

  /** Records that a collection was read, for the first time or once more. */
  void onRead(ObjectKind kind) {
    read.add(kind);
  }

  /** Returns whether all watched collections have been read. */
  boolean hasReadAll() {
    return read.containsAll(watched);
  }
}
