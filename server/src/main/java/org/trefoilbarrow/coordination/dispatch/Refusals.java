package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Decides which online demands are refused at once, and when their callers may try again: those
 * whose wait in the queue of their organisation would exceed their objective, and those over their
 * organisation's rate. Not thread-safe.
 */
final class Refusals {
  private static final Duration NO_BACKEND_RETRY_DELAY = Duration.ofMillis(400);
  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration RETRY_DELAY_SPREAD = Duration.ofMillis(600);

  private final DispatchRules rules;
  private final DoubleSupplier random;
  private final BackendSlots slots;
  private final RateLimits rateLimits;

  Refusals(DispatchRules rules, DoubleSupplier random, BackendSlots slots, RateLimits rateLimits) {
    this.rules = checkNotNull(rules, "rules");
    this.random = checkNotNull(random, "random");
    this.slots = checkNotNull(slots, "slots");
    this.rateLimits = checkNotNull(rateLimits, "rateLimits");
  }

  /** Returns the refusal of a new online demand, if it is refused. */
  Optional<Decision> check(
      Demand demand, WaitingQueue waiting, RunningWork running, long nowNanos) {
    if (!slots.hasServers(demand.service(), nowNanos) || slots.areAllLeaving(demand)) {
      return Optional.of(noBackend(demand));
    }
    int total = slots.total(demand.service(), nowNanos);
    if (!demand.repeated() && total > 0 && !waiting.servedShares().isBelowFloor(demand)) {
      QueueState state = stateOf(demand, waiting, running, total, nowNanos);
      if (state.waitNanos() > 0 && nowNanos + state.waitNanos() > demand.objectiveNanos()) {
        waiting.servedShares().record(demand, false);
        return Optional.of(
            byQueue(demand, RefusalReason.TOO_LONG_A_WAIT, state, waiting, total, nowNanos));
      }
    }
    return demand
        .organisation()
        .flatMap(id -> rateLimits.charge(id, nowNanos))
        .map(waitNanos -> withSpread(demand, RefusalReason.OVER_RATE, waitNanos));
  }

  /**
   * Refuses the online demands that waited past their objective and got no slot, so that the caller
   * can try again in time. A repeated demand is kept waiting for a while longer, behind all that
   * can be on time.
   */
  ImmutableList<Decision> refuseLate(WaitingQueue waiting, RunningWork running, long nowNanos) {
    ImmutableList.Builder<Decision> refusals = ImmutableList.builder();
    for (Iterator<Demand> demands = waiting.late().iterator(); demands.hasNext(); ) {
      Demand demand = demands.next();
      double maxLateNanos =
          demand.repeated()
              ? (demand.deadlineNanos() - demand.objectiveNanos()) * rules.lateWaitFraction()
              : 0;
      if (nowNanos - demand.objectiveNanos() > maxLateNanos) {
        demands.remove();
        refusals.add(expired(demand, waiting, running, nowNanos));
      }
    }
    return refusals.build();
  }

  /** Refuses the online demands that wait for servers all of which are leaving by now. */
  ImmutableList<Decision> refuseUnplaceable(String service, WaitingQueue waiting) {
    if (!slots.hasLeaving(service)) {
      return ImmutableList.of();
    }
    boolean hasOthers = !slots.areAllLeaving(service);
    ImmutableList.Builder<Decision> refusals = ImmutableList.builder();
    for (Demand demand :
        Iterables.concat(waiting.online().demands(), List.copyOf(waiting.late()))) {
      boolean mayBePlaced = hasOthers && demand.excluded().isEmpty();
      if (!mayBePlaced && slots.areAllLeaving(demand)) {
        waiting.remove(demand);
        refusals.add(noBackend(demand));
      }
    }
    return refusals.build();
  }

  private Decision noBackend(Demand demand) {
    return withSpread(demand, RefusalReason.NO_BACKEND, NO_BACKEND_RETRY_DELAY.toNanos());
  }

  private Decision expired(
      Demand demand, WaitingQueue waiting, RunningWork running, long nowNanos) {
    waiting.servedShares().record(demand, false);
    int total = Math.max(1, slots.total(demand.service(), nowNanos));
    QueueState state = stateOf(demand, waiting, running, total, nowNanos);
    return byQueue(demand, RefusalReason.WAITED_TOO_LONG, state, waiting, total, nowNanos);
  }

  /** Returns the wait of a demand; 0 while a slot is free or being freed for it. */
  private QueueState stateOf(
      Demand demand, WaitingQueue waiting, RunningWork running, int total, long nowNanos) {
    FairQueue.Backlog backlog = waiting.online().backlogBefore(demand, nowNanos);
    double serviceNanos = waiting.slotTimes().meanNanos();
    int freeable =
        slots.free(demand.service(), nowNanos)
            + running.interruptibleCount(rules.urgentSlots(total))
            + running.revokedCount();
    boolean hasSlot = freeable > waiting.online().size();
    int available = freeable - slots.overbooked(demand.service(), nowNanos);
    double returns = waiting.returnTimes().queueFactor(FairQueue.organisationOf(demand), nowNanos);
    double excess = backlog.slotNanos() / serviceNanos * returns + 1 - available;
    long waitNanos = hasSlot || excess < 1e-6 ? 0 : (long) (excess * serviceNanos / total);
    return new QueueState(
        FairQueue.organisationOf(demand),
        backlog.queueLength(),
        waitNanos,
        backlog.share(),
        backlog.ageNanos());
  }

  private Decision byQueue(
      Demand demand,
      RefusalReason reason,
      QueueState state,
      WaitingQueue waiting,
      int total,
      long nowNanos) {
    double slotInterval = waiting.slotTimes().meanNanos() / (total * state.share());
    long delayNanos =
        waiting
            .returnTimes()
            .nextDelayNanos(
                state.organisation(),
                state.waitNanos(),
                slotInterval,
                demand.deadlineNanos() - nowNanos,
                nowNanos);
    return new Decision.Refused(demand.id(), reason, delayNanos / 1_000_000, Optional.of(state));
  }

  private Decision withSpread(Demand demand, RefusalReason reason, long waitNanos) {
    long spread = (long) (RETRY_DELAY_SPREAD.toMillis() * random.getAsDouble());
    long millis = Math.max(MIN_RETRY_DELAY.toMillis(), waitNanos / 1_000_000) + spread;
    return new Decision.Refused(demand.id(), reason, millis);
  }
}
