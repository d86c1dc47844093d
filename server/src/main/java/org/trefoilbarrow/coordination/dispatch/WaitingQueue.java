package org.trefoilbarrow.coordination.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import org.trefoilbarrow.protocol.HostId;

/**
 * The waiting demands of one service, and what was observed of its online requests. Not
 * thread-safe.
 */
final class WaitingQueue {
  private static final Comparator<Demand> BY_ID =
      Comparator.comparing((Demand demand) -> demand.id().host().value())
          .thenComparingLong(demand -> demand.id().call());
  private static final Comparator<Demand> BY_OBJECTIVE =
      Comparator.comparingLong(Demand::objectiveNanos).thenComparing(BY_ID);

  /** Sorts after the identifiers of all hosts. */
  private static final DemandId AFTER_ALL =
      new DemandId(HostId.of(String.valueOf(Character.MAX_VALUE)), Long.MAX_VALUE);

  private final FairQueue online;
  private final TreeSet<Demand> late = new TreeSet<>(BY_OBJECTIVE);
  private final TreeSet<Demand> batch = new TreeSet<>(BY_OBJECTIVE);
  private final SlotTimes slotTimes;
  private final ServedShares servedShares = new ServedShares();
  private final ReturnTimes returnTimes;

  /**
   * Creates an empty queue.
   *
   * @param initialServiceNanos the mean service time assumed until a request is measured
   * @param weights returns the weight of an organisation
   * @param random supplies numbers from 0 to 1, which spread the retries of callers
   */
  WaitingQueue(
      double initialServiceNanos, ToDoubleFunction<String> weights, DoubleSupplier random) {
    this.online = new FairQueue(weights);
    this.slotTimes = new SlotTimes(initialServiceNanos);
    this.returnTimes = new ReturnTimes(random);
  }

  /** Returns the online demands that can still be on time. */
  FairQueue online() {
    return online;
  }

  /** Returns the slot times of online requests. */
  SlotTimes slotTimes() {
    return slotTimes;
  }

  /** Returns how often online demands are served, by class. */
  ServedShares servedShares() {
    return servedShares;
  }

  /** Returns when refused callers may try again. */
  ReturnTimes returnTimes() {
    return returnTimes;
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

  void add(Demand demand, long nowNanos) {
    if (demand.batch()) {
      batch.add(demand);
    } else {
      boolean first = demand.repeated() || servedShares.isBelowFloor(demand);
      double cost = slotTimes.expectedNanos(demand.profile().size());
      online.add(new FairQueue.Entry(demand, cost, first), nowNanos);
    }
  }

  void remove(Demand demand) {
    online.remove(demand.id());
    late.remove(demand);
    batch.remove(demand);
  }
}
