package org.trefoilbarrow.coordination.memory;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Map.Entry;

/**
 * Bounds what the responses in progress together take of a host's memory. Each response may be
 * small enough, and many at once still too large, as when faulty servers send bytes without end.
 * The largest one is given up first, so that sound responses beside them go on.
 *
 * <p>Not thread-safe.
 *
 * @param <T> what holds a response
 */
public final class BufferBudget<T> {
  private final long maxBytes;
  private final Map<T, Long> held = new HashMap<>();
  private long totalBytes;

  private BufferBudget(long maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
    this.maxBytes = maxBytes;
  }

  /**
   * Returns a budget of which nothing is in use.
   *
   * @param maxBytes the most bytes of all responses together
   */
  public static <T> BufferBudget<T> of(long maxBytes) {
    return new BufferBudget<>(maxBytes);
  }

  /**
   * Records how much a holder holds now.
   *
   * @return the holders to give up, which no longer count; they may include this one
   */
  public ImmutableList<T> hold(T holder, long bytes) {
    checkArgument(bytes >= 0, "bytes must not be negative: %s", bytes);
    Long before = held.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    ImmutableList.Builder<T> givenUp = ImmutableList.builder();
    while (totalBytes > maxBytes) {
      T largest = largest();
      release(largest);
      givenUp.add(largest);
    }
    return givenUp.build();
  }

  /** Records that a holder holds nothing any more. */
  public void release(T holder) {
    Long bytes = held.remove(holder);
    totalBytes -= bytes == null ? 0 : bytes;
  }

  /** Returns the bytes of all holders. */
  public long totalBytes() {
    return totalBytes;
  }

  private T largest() {
    return held.entrySet().stream().max(Entry.comparingByValue()).orElseThrow().getKey();
  }
}
