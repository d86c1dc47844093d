package org.trefoilbarrow.state;

import java.time.Duration;
import java.util.Optional;

/**
 * A client of the platform's object service. Each platform has its own implementation.
 *
 * <p>Each method makes one call and throws {@link PlatformException} if the call fails.
 * Implementations are thread-safe.
 */
public interface Platform {

  /** The expected version of an object that must not exist yet. */
  long ABSENT = 0;

  /** Returns the object with the given name, if it exists. */
  Optional<VersionedObject> read(ObjectKind kind, String name);

  /**
   * Writes an object if it has the expected version.
   *
   * @param expectedVersion the version to replace, or {@link #ABSENT} to create the object
   * @return the new version, or empty if the object has another version
   */
  Optional<Long> write(ObjectKind kind, String name, long expectedVersion, String value);

  /**
   * Deletes an object if it has the expected version.
   *
   * @return the version of the deletion, or empty if the object has another version
   */
  Optional<Long> delete(ObjectKind kind, String name, long expectedVersion);

  /**
   * Returns up to {@code limit} objects whose names begin with a prefix and follow {@code after}.
   */
  ObjectPage list(ObjectKind kind, String prefix, String after, int limit);

  /**
   * Waits for changes to objects of a kind.
   *
   * @param afterRevision the revision after which changes are reported
   * @param wait the longest time to wait for the first change
   * @return the changes, or empty if the platform no longer has all changes since the revision
   */
  Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait);
}
