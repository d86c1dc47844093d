package org.trefoilbarrow.coordination.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import org.trefoilbarrow.protocol.HostId;

/**
 * The waiting demands of one service, and the mean service time of its online requests. Not
 * thread-safe.
 */
final class WaitingQueue {
  private static final double SERVICE_TIME_WEIGHT = 0.05;
  private static final Comparator<Demand> BY_ID =
      Comparator.comparing((Demand demand) -> demand.id().host().value())
          .thenComparingLong(demand -> demand.id().call());
  private static final Comparator<Demand> BY_OBJECTIVE =
      Comparator.comparingLong(Demand::objectiveNanos).thenComparing(BY_ID);
  private static final Comparator<Demand> BY_PRIORITY =
      Comparator.comparingInt(Demand::priority).thenComparing(BY_OBJECTIVE);

  /** Sorts after the identifiers of all hosts. */
  private static final DemandId AFTER_ALL =
      new DemandId(HostId.of(String.valueOf(Character.MAX_VALUE)), Long.MAX_VALUE);

  private final TreeSet<Demand> online = new TreeSet<>(BY_PRIORITY);
  private final TreeSet<Demand> late = new TreeSet<>(BY_OBJECTIVE);
  private final TreeSet<Demand> batch = new TreeSet<>(BY_OBJECTIVE);
  private double serviceNanos;

  /**
   * Creates an empty queue.
   *
   * @param initialServiceNanos the mean service time assumed until a request is measured
   */
  WaitingQueue(double initialServiceNanos) {
    this.serviceNanos = initialServiceNanos;
  }

  /** Returns the online demands that can still be on time, by priority and objective. */
  TreeSet<Demand> online() {
    return online;
  }

  /** Returns the online demands that have missed their objective, by objective. */
  TreeSet<Demand> late() {
    return late;
  }

  /** Returns the number of batch items. */
  int itemCount() {
    return batch.size();
  }

  /** Returns the batch items that can still be on time, by objective. */
  NavigableSet<Demand> timelyItems(long nowNanos) {
    return batch.tailSet(boundary(nowNanos), false);
  }

  /** Returns the batch items whose objective is within the given time, by objective. */
  NavigableSet<Demand> urgentItems(long nowNanos, long windowNanos) {
    return batch.subSet(boundary(nowNanos), false, boundary(nowNanos + windowNanos - 1), true);
  }

  /** Returns the batch items that have missed their objective, by objective. */
  NavigableSet<Demand> lateItems(long nowNanos) {
    return batch.headSet(boundary(nowNanos), true);
  }

  /** Returns a demand that sorts after all demands with the given objective. */
  private static Demand boundary(long objectiveNanos) {
    return new Demand(
        AFTER_ALL, "", Optional.empty(), 0, true, objectiveNanos, 0, false, ImmutableSet.of());
  }

  void add(Demand demand) {
    (demand.batch() ? batch : online).add(demand);
  }

  void remove(Demand demand) {
    online.remove(demand);
    late.remove(demand);
    batch.remove(demand);
  }

  /** Returns the mean service time of online requests, as a moving average. */
  double serviceNanos() {
    return serviceNanos;
  }

  /** Adds a measured service time to the moving average. */
  void recordServiceTime(long requestNanos) {
    serviceNanos += SERVICE_TIME_WEIGHT * (requestNanos - serviceNanos);
  }
}
