package org.trefoilbarrow.coordination.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.trefoilbarrow.protocol.PromptPartId;

/**
 * When prompt parts were last seen to be sound: a backend server began to answer a request with
 * them and lived. Remembers the parts that were seen last. Not thread-safe.
 */
public final class SoundParts {
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<PromptPartId, Long> seenNanos;

  /**
   * Creates an empty record.
   *
   * @param maxParts the most parts that are remembered
   */
  public SoundParts(int maxParts) {
    checkArgument(maxParts > 0, "maxParts must be positive, not %s", maxParts);
    this.seenNanos =
        new LinkedHashMap<>(16, LOAD_FACTOR, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<PromptPartId, Long> eldest) {
            return size() > maxParts;
          }
        };
  }

  /** Records that parts were sound at a time. */
  public void seen(Iterable<PromptPartId> parts, long nanos) {
    for (PromptPartId part : parts) {
      seenNanos.merge(part, nanos, (before, now) -> now - before > 0 ? now : before);
    }
  }

  /** Records that each part was sound at its time. */
  void seen(Map<PromptPartId, Long> partNanos) {
    partNanos.forEach((part, nanos) -> seen(ImmutableList.of(part), nanos));
  }

  /** Returns when a part was last seen to be sound, if that is remembered. */
  public OptionalLong lastSeenNanos(PromptPartId part) {
    Long nanos = seenNanos.get(part);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }

  /** Returns the number of remembered parts. */
  int size() {
    return seenNanos.size();
  }
}
