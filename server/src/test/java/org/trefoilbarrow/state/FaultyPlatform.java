package org.trefoilbarrow.state;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/**
 * An in-memory platform whose calls fail at random, by a seed, before or after they take effect.
 */
public final class FaultyPlatform implements Platform {
  private static final int MAX_CONSECUTIVE_FAILURES = 4;

  private final Random random;
  private final Map<String, VersionedObject> objects = new TreeMap<>();
  private double failureProbability;
  private int maxLength = Integer.MAX_VALUE;
  private boolean ignoresVersions;
  private int consecutiveFailures;
  private long revision;

  public FaultyPlatform(long seed) {
    this.random = new Random(seed);
  }

  public void setFailureChance(double probability) {
    failureProbability = probability;
  }

  /** Disables the check that a write has the version that it replaces. */
  public void ignoreVersions() {
    ignoresVersions = true;
  }

  @Override
  public Optional<VersionedObject> read(ObjectKind kind, String name) {
    failAtRandom();
    return Optional.ofNullable(objects.get(key(kind, name)));
  }

  /** Sets the length from which values are refused as too large. */
  public void setMaxLength(int length) {
    maxLength = length;
  }

  @Override
  public Optional<Long> write(ObjectKind kind, String name, long expectedVersion, String value) {
    failAtRandom();
    if (value.length() > maxLength) {
      throw PlatformException.tooLarge("the value is too large");
    }
    if (!ignoresVersions && versionOf(kind, name) != expectedVersion) {
      failAtRandom();
      return Optional.empty();
    }
    revision++;
    objects.put(key(kind, name), new VersionedObject(name, revision, value));
    long written = revision;
    failAtRandom();
    return Optional.of(written);
  }

  @Override
  public Optional<Long> delete(ObjectKind kind, String name, long expectedVersion) {
    failAtRandom();
    if (versionOf(kind, name) != expectedVersion) {
      return Optional.empty();
    }
    objects.remove(key(kind, name));
    revision++;
    failAtRandom();
    return Optional.of(revision);
  }

  @Override
  public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
    failAtRandom();
    List<VersionedObject> found = new ArrayList<>();
    objects.forEach(
        (key, object) -> {
          if (key.startsWith(key(kind, prefix)) && object.name().compareTo(after) > 0) {
            found.add(object);
          }
        });
    return new ObjectPage(revision, found, true);
  }

  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    throw new UnsupportedOperationException("no test watches this platform");
  }

  private long versionOf(ObjectKind kind, String name) {
    VersionedObject object = objects.get(key(kind, name));
    return object == null ? ABSENT : object.version();
  }

  private static String key(ObjectKind kind, String name) {
    return kind.collection() + " " + name;
  }

  private void failAtRandom() {
    if (consecutiveFailures < MAX_CONSECUTIVE_FAILURES
        && random.nextDouble() < failureProbability) {
      consecutiveFailures++;
      throw new PlatformException("seeded failure", new IOException("seeded failure"), false);
    }
    consecutiveFailures = 0;
  }
}
