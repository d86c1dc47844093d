package org.trefoilbarrow.state;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.operators.ConfigurationEntity;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.EntityReference;
import org.trefoilbarrow.operators.EntitySpec;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.protocol.KeyDigest;

/**
 * Caches the entities of the operators' configuration by kind and name.
 *
 * <p>Each change is applied by its version: a version older than the cached one, or older than the
 * object's deletion, is ignored, so that a late message never reverts an operator's change.
 * Thread-safe; reads acquire no lock, except {@link #changesAfter}.
 */
public final class ConfigurationTable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<EntityKind, Map<String, VersionedEntity>> entities =
      new EnumMap<>(EntityKind.class);
  private final Map<KeyDigest, VersionedEntity> keysByDigest = new ConcurrentHashMap<>();
  private final Map<String, Long> tombstones = new HashMap<>();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile long revision;

  /** Creates an empty table. */
  public ConfigurationTable() {
    for (EntityKind kind : EntityKind.values()) {
      entities.put(kind, new ConcurrentHashMap<>());
    }
  }

  /** Adds a listener that is called after each change, by the thread that applied it. */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Applies changes that a watch or a peer reported or that this host wrote. */
  public void apply(Collection<ObjectChange> changes) {
    boolean changed = false;
    synchronized (this) {
      for (ObjectChange change : changes) {
        changed |= applyOne(change);
      }
    }
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }

  /** Applies changes, and records that all changes up to the batch's revision are applied. */
  public void applyBatch(ChangeBatch batch) {
    apply(batch.changes());
    synchronized (this) {
      revision = Math.max(revision, batch.revision());
    }
  }

  /**
   * Applies a snapshot of the collection: an entity that it lacks was deleted, unless the entity is
   * newer than the snapshot.
   *
   * @param snapshotRevision the revision of the snapshot's first page
   */
  public void applySnapshot(List<VersionedObject> objects, long snapshotRevision) {
    Set<String> present = objects.stream().map(VersionedObject::name).collect(toImmutableSet());
    synchronized (this) {
      for (Map<String, VersionedEntity> kind : entities.values()) {
        for (VersionedEntity cached : List.copyOf(kind.values())) {
          String name = cached.entity().reference().objectName();
          if (!present.contains(name) && cached.version() <= snapshotRevision) {
            applyOne(new ObjectChange(name, snapshotRevision, Optional.empty()));
          }
        }
      }
      objects.forEach(
          object ->
              applyOne(
                  new ObjectChange(object.name(), object.version(), Optional.of(object.value()))));
      revision = Math.max(revision, snapshotRevision);
    }
    listeners.forEach(Runnable::run);
  }

  /** Returns the revision up to which all changes are applied. */
  public long revision() {
    return revision;
  }

  /** Returns an entity, if it exists. */
  public Optional<VersionedEntity> find(EntityReference reference) {
    return Optional.ofNullable(entities.get(reference.kind()).get(reference.name()));
  }

  /** Returns the specification of an entity, if it exists. */
  public <S extends EntitySpec> Optional<S> spec(EntityKind kind, String name, Class<S> type) {
    return Optional.ofNullable(entities.get(kind).get(name))
        .map(found -> type.cast(found.entity().spec()));
  }

  /** Returns the key with the given digest, if it exists and is not withdrawn. */
  public Optional<KeySpec> validKey(KeyDigest digest) {
    return Optional.ofNullable(keysByDigest.get(digest))
        .map(found -> (KeySpec) found.entity().spec())
        .filter(key -> !key.withdrawn());
  }

  /** Returns all entities of a kind. */
  public ImmutableList<VersionedEntity> list(EntityKind kind) {
    return ImmutableList.copyOf(entities.get(kind).values());
  }

  /** Returns the entities that refer to the given one. */
  public ImmutableList<EntityReference> referrers(EntityReference reference) {
    ImmutableList.Builder<EntityReference> found = ImmutableList.builder();
    for (Map<String, VersionedEntity> kind : entities.values()) {
      for (VersionedEntity candidate : kind.values()) {
        if (candidate.entity().spec().references().contains(reference)) {
          found.add(candidate.entity().reference());
        }
      }
    }
    return found.build();
  }

  /** Returns every change newer than the given version, deletions included, for a peer. */
  public synchronized ImmutableList<ObjectChange> changesAfter(long version) {
    ImmutableList.Builder<ObjectChange> changes = ImmutableList.builder();
    for (Map<String, VersionedEntity> kind : entities.values()) {
      for (VersionedEntity cached : kind.values()) {
        if (cached.version() > version) {
          String name = cached.entity().reference().objectName();
          String value = ConfigurationJson.print(cached.entity());
          changes.add(new ObjectChange(name, cached.version(), Optional.of(value)));
        }
      }
    }
    ImmutableMap.copyOf(tombstones)
        .forEach(
            (name, deleted) -> {
              if (deleted > version) {
                changes.add(new ObjectChange(name, deleted, Optional.empty()));
              }
            });
    return changes.build();
  }

  /** Returns the number of entities. */
  public int size() {
    return entities.values().stream().mapToInt(Map::size).sum();
  }

  private boolean applyOne(ObjectChange change) {
    Optional<EntityReference> reference = parseName(change.name());
    if (reference.isEmpty()) {
      logger.atWarning().log("configuration: ignored object %s: unknown kind", change.name());
      return false;
    }
    if (change.version() <= cachedVersion(reference.get())) {
      return false;
    }
    Map<String, VersionedEntity> kind = entities.get(reference.get().kind());
    if (change.value().isEmpty()) {
      tombstones.put(change.name(), change.version());
      unindex(kind.remove(reference.get().name()));
      return true;
    }
    try {
      ConfigurationEntity entity =
          ConfigurationJson.read(change.value().get(), ConfigurationEntity.class);
      VersionedEntity next = new VersionedEntity(entity, change.version());
      unindex(kind.put(entity.name(), next));
      index(next);
      tombstones.remove(change.name());
      return true;
    } catch (IllegalArgumentException e) {
      logger.atSevere().withCause(e).log(
          "configuration: ignored version %s of object %s: invalid value",
          change.version(), change.name());
      return false;
    }
  }

  private long cachedVersion(EntityReference reference) {
    VersionedEntity cached = entities.get(reference.kind()).get(reference.name());
    long deleted = tombstones.getOrDefault(reference.objectName(), 0L);
    return Math.max(deleted, cached == null ? 0 : cached.version());
  }

  private void index(VersionedEntity entity) {
    if (entity.entity().spec() instanceof KeySpec key) {
      keysByDigest.put(KeyDigest.of(key.digest()), entity);
    }
  }

  private void unindex(@Nullable VersionedEntity entity) {
    if (entity != null && entity.entity().spec() instanceof KeySpec key) {
      keysByDigest.remove(KeyDigest.of(key.digest()), entity);
    }
  }

  private static Optional<EntityReference> parseName(String name) {
    int slash = name.indexOf('/');
    if (slash < 0) {
      return Optional.empty();
    }
    return EntityKind.ofCollection(name.substring(0, slash))
        .map(kind -> new EntityReference(kind, name.substring(slash + 1)));
  }
}
