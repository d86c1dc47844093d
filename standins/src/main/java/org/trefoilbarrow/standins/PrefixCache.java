package org.trefoilbarrow.standins;

import java.util.LinkedHashMap;
import java.util.Map;

/** A cache of prompt prefixes that evicts the least recently used. Thread-safe. */
final class PrefixCache {
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<String, Boolean> prefixes;

  PrefixCache(int capacity) {
    prefixes =
        new LinkedHashMap<>(16, LOAD_FACTOR, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > capacity;
          }
        };
  }

  /** Adds a prefix; returns whether it was cached already. */
  synchronized boolean add(String prefix) {
    return prefixes.put(prefix, true) != null;
  }
}
