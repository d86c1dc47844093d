package org.trefoilbarrow.coordination.election;

import java.util.PriorityQueue;

/** Runs actions in the order of their simulated times. */
final class EventQueue {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMillis;
  private long sequence;

  private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMillis != other.atMillis
          ? Long.compare(atMillis, other.atMillis)
          : Long.compare(order, other.order);
    }
  }

  long nowMillis() {
    return nowMillis;
  }

  void after(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, sequence++, action));
  }

  /** Runs all actions up to the given time. */
  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().atMillis() <= millis) {
      Event next = events.poll();
      nowMillis = next.atMillis();
      next.action().run();
    }
    nowMillis = millis;
  }
}
