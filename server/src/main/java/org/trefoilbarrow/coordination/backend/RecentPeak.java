package org.trefoilbarrow.coordination.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/** The maximum of a value over a sliding time window. Not thread-safe. */
final class RecentPeak {
  private final long windowNanos;
  private final Deque<Sample> samples = new ArrayDeque<>();

  private record Sample(long nanos, int value) {}

  RecentPeak(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  void add(int value, long nowNanos) {
    while (!samples.isEmpty() && samples.peekLast().value() <= value) {
      samples.removeLast();
    }
    samples.addLast(new Sample(nowNanos, value));
  }

  int get(long nowNanos) {
    while (samples.size() > 1 && nowNanos - samples.peekFirst().nanos() > windowNanos) {
      samples.removeFirst();
    }
    return samples.isEmpty() ? 0 : samples.peekFirst().value();
  }
}
