package org.trefoilbarrow.coordination.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous hashing: the candidate with the highest score for a resource is its owner. */
public final class Rendezvous {
  private static final HashFunction HASH = Hashing.murmur3_128(0x7b1d);

  private Rendezvous() {}

  /** Returns the score of a candidate for a resource, which is the same on all hosts. */
  public static long score(String resource, Object candidate) {
    return HASH.newHasher()
        .putString(resource, StandardCharsets.UTF_8)
        .putChar('\n')
        .putString(candidate.toString(), StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  /**
   * Returns the candidate with the highest score for a resource; empty if there are no candidates.
   */
  public static <T> Optional<T> owner(String resource, Collection<T> candidates) {
    return candidates.stream()
        .max(
            Comparator.comparingLong((T candidate) -> score(resource, candidate))
                .thenComparing(Object::toString));
  }
}
