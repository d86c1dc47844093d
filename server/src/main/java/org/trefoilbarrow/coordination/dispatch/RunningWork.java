package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.TreeSet;
import org.trefoilbarrow.protocol.BackendServerId;

/**
 * The work of one service that has slots, and the order in which its batch items are interrupted:
 * items that are late anyway, then items with the latest objective, and urgent items last. Not
 * thread-safe.
 */
final class RunningWork {
  private static final Comparator<Entry> INTERRUPTION_ORDER =
      Comparator.comparing(Entry::isUrgent)
          .thenComparing(entry -> !entry.isLate())
          .thenComparing(
              Comparator.comparingLong((Entry entry) -> entry.demand().objectiveNanos()).reversed())
          .thenComparing(entry -> entry.demand().id().host().value())
          .thenComparingLong(entry -> entry.demand().id().call());

  private final TreeSet<Entry> interruptible = new TreeSet<>(INTERRUPTION_ORDER);
  private int urgentCount;
  private int revokedCount;

  /** Work that has a slot. */
  static final class Entry {
    private final Demand demand;
    private final BackendServerId backend;
    private final long sinceNanos;
    private final boolean urgent;
    private boolean revoked;

    /**
     * Creates the entry of a demand that has just got a slot.
     *
     * @param urgent whether it is a batch item that was about to miss its objective
     */
    Entry(Demand demand, BackendServerId backend, long sinceNanos, boolean urgent) {
      this.demand = checkNotNull(demand, "demand");
      this.backend = checkNotNull(backend, "backend");
      this.sinceNanos = sinceNanos;
      this.urgent = urgent;
    }

    Demand demand() {
      return demand;
    }

    BackendServerId backend() {
      return backend;
    }

    long sinceNanos() {
      return sinceNanos;
    }

    boolean isUrgent() {
      return urgent;
    }

    /** Returns whether the demand had missed its objective when it got its slot. */
    boolean isLate() {
      return demand.objectiveNanos() - sinceNanos <= 0;
    }
  }

  void add(Entry entry) {
    if (entry.demand.batch()) {
      interruptible.add(entry);
      urgentCount += entry.urgent ? 1 : 0;
    }
  }

  void remove(Entry entry) {
    if (entry.demand.batch()) {
      interruptible.remove(entry);
      urgentCount -= entry.urgent ? 1 : 0;
      revokedCount -= entry.revoked ? 1 : 0;
    }
  }

  /** Returns the number of urgent items, revoked ones included. */
  int urgentCount() {
    return urgentCount;
  }

  /** Returns the number of items that were revoked and still hold their slots. */
  int revokedCount() {
    return revokedCount;
  }

  /**
   * Returns the number of items that may be interrupted.
   *
   * @param reserved the most urgent items that keep their slots
   */
  int interruptibleCount(int reserved) {
    long urgent = interruptible.descendingSet().stream().takeWhile(Entry::isUrgent).count();
    return interruptible.size() - (int) Math.min(urgent, reserved);
  }

  /** Revokes the item to interrupt next, and returns it. There must be one. */
  Entry revokeNext() {
    Entry next = interruptible.pollFirst();
    next.revoked = true;
    revokedCount++;
    return next;
  }
}
