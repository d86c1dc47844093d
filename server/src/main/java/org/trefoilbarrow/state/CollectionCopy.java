package org.trefoilbarrow.state;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A copy of a collection, made from the pages of a list and the changes that a watch returned after
 * it. Thread-safe.
 */
public final class CollectionCopy {
  private Map<String, VersionedObject> objects = new TreeMap<>();
  private Map<String, VersionedObject> pending = new TreeMap<>();
  private long pendingRevision;
  private long revision;
  private boolean whole;

  /**
   * Adds a page of a list; the last page replaces the copy.
   *
   * @param first whether the page is the first one of its list
   */
  public synchronized void addPage(ObjectPage page, boolean first) {
    if (first) {
      pending = new TreeMap<>();
      // Later pages may be newer; the changes after the first one repeat what they have.
      pendingRevision = page.revision();
    }
    page.objects().forEach(object -> pending.put(object.name(), object));
    if (page.complete()) {
      objects = pending;
      pending = new TreeMap<>();
      revision = pendingRevision;
      whole = true;
    }
  }

  /** Applies changes that follow the revision of the copy. */
  public synchronized void apply(ChangeBatch batch) {
    for (ObjectChange change : batch.changes()) {
      VersionedObject known = objects.get(change.name());
      if (known != null && known.version() > change.version()) {
        continue;
      }
      if (change.value().isPresent()) {
        objects.put(
            change.name(),
            new VersionedObject(change.name(), change.version(), change.value().get()));
      } else {
        objects.remove(change.name());
      }
    }
    revision = Math.max(revision, batch.revision());
  }

  /** Returns all objects and their revision; empty if the collection was never read. */
  public synchronized Optional<ObjectPage> snapshot() {
    return whole
        ? Optional.of(new ObjectPage(revision, objects.values().stream().toList(), true))
        : Optional.empty();
  }
}
