package org.trefoilbarrow.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An in-memory store of versioned objects with conditional writes and a bounded history of changes.
 *
 * <p>Each change increments one revision for all kinds; an object's version is the revision of its
 * last write. Thread-safe.
 */
final class ObjectStore {
  private final int historyLength;
  private final Map<String, NavigableMap<String, StoredObject>> kinds = new TreeMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private long revision;
  private long lastDiscardedRevision;

  /** An object at one version. */
  record StoredObject(String name, long version, String value) {}

  /** A change to an object; a deletion if {@code value} is absent. */
  record Change(String kind, String name, long version, Optional<String> value) {}

  /** A page of a collection and the revision at which it was read. */
  record Page(long revision, List<StoredObject> objects, boolean complete) {}

  ObjectStore(int historyLength) {
    this.historyLength = historyLength;
  }

  synchronized Optional<StoredObject> read(String kind, String name) {
    return Optional.ofNullable(collection(kind).get(name));
  }

  /** Creates or updates an object and returns its version, or empty on a conflict. */
  synchronized Optional<Long> write(String kind, String name, long expectedVersion, String value) {
    if (versionOf(kind, name) != expectedVersion) {
      return Optional.empty();
    }
    revision++;
    collection(kind).put(name, new StoredObject(name, revision, value));
    record(new Change(kind, name, revision, Optional.of(value)));
    return Optional.of(revision);
  }

  /** Deletes an object and returns the revision of the deletion, or empty on a conflict. */
  synchronized Optional<Long> delete(String kind, String name, long expectedVersion) {
    if (expectedVersion == 0 || versionOf(kind, name) != expectedVersion) {
      return Optional.empty();
    }
    revision++;
    collection(kind).remove(name);
    record(new Change(kind, name, revision, Optional.empty()));
    return Optional.of(revision);
  }

  synchronized Page list(String kind, String prefix, String after, int limit) {
    List<StoredObject> objects = new ArrayList<>();
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    for (StoredObject object : collection(kind).tailMap(from, !from.equals(after)).values()) {
      if (!object.name().startsWith(prefix)) {
        break;
      }
      if (objects.size() == limit) {
        return new Page(revision, objects, false);
      }
      objects.add(object);
    }
    return new Page(revision, objects, true);
  }

  /**
   * Waits for changes of a kind after the given revision.
   *
   * @return the changes, or empty if the history no longer reaches back that far
   */
  synchronized Optional<List<Change>> awaitChanges(String kind, long after, long waitMillis)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      if (after < lastDiscardedRevision || after > revision) {
        return Optional.empty();
      }
      List<Change> changes =
          history.stream().filter(c -> c.version() > after && c.kind().equals(kind)).toList();
      long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
      if (!changes.isEmpty() || remainingMillis <= 0) {
        return Optional.of(changes);
      }
      wait(remainingMillis);
    }
  }

  synchronized long revision() {
    return revision;
  }

  /** Discards the history of changes, so that no watch can resume from an earlier revision. */
  synchronized void discardHistory() {
    history.clear();
    lastDiscardedRevision = revision;
  }

  private void record(Change change) {
    history.addLast(change);
    if (history.size() > historyLength) {
      lastDiscardedRevision = history.removeFirst().version();
    }
    notifyAll();
  }

  private long versionOf(String kind, String name) {
    StoredObject current = collection(kind).get(name);
    return current == null ? 0 : current.version();
  }

  private NavigableMap<String, StoredObject> collection(String kind) {
    return kinds.computeIfAbsent(kind, unused -> new TreeMap<>());
  }
}
