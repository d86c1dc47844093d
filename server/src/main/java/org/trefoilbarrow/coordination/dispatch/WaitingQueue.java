package org.trefoilbarrow.coordination.dispatch;

import java.util.Comparator;
import java.util.TreeSet;

/** The demands of one service that wait, and how long its requests take. Not thread-safe. */
final class WaitingQueue {
  private static final double SERVICE_TIME_WEIGHT = 0.05;
  private static final Comparator<Demand> BY_NUMBER =
      Comparator.comparing((Demand demand) -> demand.id().host().value())
          .thenComparingLong(demand -> demand.id().call());
  private static final Comparator<Demand> BY_OBJECTIVE =
      Comparator.comparingLong(Demand::objectiveNanos).thenComparing(BY_NUMBER);
  private static final Comparator<Demand> BY_RANK =
      Comparator.comparingInt(Demand::priority).thenComparing(BY_OBJECTIVE);

  private final TreeSet<Demand> online = new TreeSet<>(BY_RANK);
  private final TreeSet<Demand> late = new TreeSet<>(BY_OBJECTIVE);
  private final TreeSet<Demand> batch = new TreeSet<>(BY_OBJECTIVE);
  private double serviceNanos;

  /**
   * Creates an empty queue.
   *
   * @param firstServiceNanos the time of a request that is assumed before any was measured
   */
  WaitingQueue(double firstServiceNanos) {
    this.serviceNanos = firstServiceNanos;
  }

  /** Returns the online demands that can still be on time, by rank and objective. */
  TreeSet<Demand> online() {
    return online;
  }

  /** Returns the online demands that can only be late, by objective. */
  TreeSet<Demand> late() {
    return late;
  }

  /** Returns the batch items, by the time at which their jobs are due. */
  TreeSet<Demand> batch() {
    return batch;
  }

  void add(Demand demand) {
    (demand.batch() ? batch : online).add(demand);
  }

  void remove(Demand demand) {
    online.remove(demand);
    late.remove(demand);
    batch.remove(demand);
  }

  /** Returns the mean time of an online request, which follows the measured ones. */
  double serviceNanos() {
    return serviceNanos;
  }

  void measured(long requestNanos) {
    serviceNanos += SERVICE_TIME_WEIGHT * (requestNanos - serviceNanos);
  }
}
