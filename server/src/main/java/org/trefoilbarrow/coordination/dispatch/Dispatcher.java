package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.trefoilbarrow.coordination.token.AdjustableTokenBucket;
import org.trefoilbarrow.coordination.token.Grant;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.state.fleet.Organisation;

/**
 * Places the work of all hosts at backend servers.
 *
 * <p>Handles load whose peaks exceed the slots for some seconds:
 *
 * <ul>
 *   <li>Online requests that can still be on time go first, by priority and objective. They take
 *       the slots of batch items, which are interrupted and resumed later.
 *   <li>An online request whose expected wait exceeds its objective is refused at once, with the
 *       time after which the queue is expected to be short.
 *   <li>Online requests that missed their objective get only slots that no other work needs.
 *   <li>Batch items that are about to miss their objective go before all other work, up to a limit.
 *       Items that have missed it go last, so that an overload of items makes some late and not
 *       all.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class Dispatcher {
  private static final Duration NO_BACKEND_RETRY_DELAY = Duration.ofMillis(400);
  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration RETRY_DELAY_SPREAD = Duration.ofMillis(600);

  private final FleetView fleet;
  private final DispatchRules rules;
  private final DoubleSupplier random;
  private final BackendSlots slots;
  private final Map<DemandId, Running> running = new HashMap<>();
  private final Map<DemandId, Demand> waiting = new HashMap<>();
  private final Map<String, WaitingQueue> queues = new HashMap<>();
  private final Map<OrganisationId, AdjustableTokenBucket> buckets = new HashMap<>();
  private final Map<HostId, Long> lostHosts = new HashMap<>();
  private double fraction = 1;

  /** Work that has a slot. */
  private static final class Running {
    final Demand demand;
    final BackendServerId backend;
    final long sinceNanos;
    boolean revoked;

    Running(Demand demand, BackendServerId backend, long sinceNanos) {
      this.demand = demand;
      this.backend = backend;
      this.sinceNanos = sinceNanos;
    }
  }

  /**
   * Creates a dispatcher without work.
   *
   * @param random supplies numbers from 0 to 1, which spread the retries of callers and break ties
   *     between servers
   */
  public Dispatcher(FleetView fleet, DispatchRules rules, DoubleSupplier random) {
    this.fleet = checkNotNull(fleet, "fleet");
    this.rules = checkNotNull(rules, "rules");
    this.random = checkNotNull(random, "random");
    this.slots = new BackendSlots(fleet, rules, random);
  }

  /** Sets the fraction of each limit that this dispatcher may use, above 0 and at most 1. */
  public void setFraction(double fraction) {
    checkArgument(
        fraction > 0 && fraction <= 1, "fraction must be above 0 and at most 1: %s", fraction);
    this.fraction = fraction;
  }

  /** Sets how many slots of each backend server this dispatcher may assign. */
  public void setSlotShare(SlotShare share) {
    slots.setShare(checkNotNull(share, "share"));
  }

  /** Submits a demand, which is placed, refused or kept waiting. A known demand is ignored. */
  public ImmutableList<Decision> submit(Demand demand, long nowNanos) {
    if (waiting.containsKey(demand.id()) || running.containsKey(demand.id())) {
      return ImmutableList.of();
    }
    WaitingQueue queue = queue(demand.service());
    if (!demand.batch()) {
      Optional<Decision> refusal = refusal(demand, queue, nowNanos);
      if (refusal.isPresent()) {
        return ImmutableList.of(refusal.get());
      }
    }
    waiting.put(demand.id(), demand);
    queue.add(demand);
    return assignSlots(demand.service(), nowNanos);
  }

  /** Registers work that a host reports as already running. */
  public void registerRunning(Demand demand, BackendServerId backend, long nowNanos) {
    if (running.putIfAbsent(demand.id(), new Running(demand, backend, nowNanos)) == null) {
      slots.load(backend).registeredRunning();
    }
  }

  /** Removes a demand that has ended, whether it was waiting or running. */
  public ImmutableList<Decision> finished(DemandId id, PlacementResult result, long nowNanos) {
    Demand waited = waiting.remove(id);
    if (waited != null) {
      queue(waited.service()).remove(waited);
      return ImmutableList.of();
    }
    Running ended = running.remove(id);
    if (ended == null) {
      return ImmutableList.of();
    }
    BackendLoad load = slots.load(ended.backend);
    load.ended();
    recordResult(ended, load, result, nowNanos);
    return assignSlots(ended.demand.service(), nowNanos);
  }

  /** Removes all demands of a host that has restarted. */
  public void hostRestarted(HostId host) {
    lostHosts.remove(host);
    dropWaiting(host);
    running.values().removeIf(entry -> release(entry, host));
  }

  /**
   * Removes the waiting demands of an unresponsive host, and after {@link
   * DispatchRules#lostHostRetention} its running ones.
   */
  public void hostLost(HostId host, long nowNanos) {
    dropWaiting(host);
    lostHosts.put(host, nowNanos + rules.lostHostRetention().toNanos());
  }

  /** Reconsiders all waiting demands after time has passed or the fleet has changed. */
  public ImmutableList<Decision> tick(long nowNanos) {
    lostHosts
        .entrySet()
        .removeIf(
            lost -> {
              if (nowNanos - lost.getValue() < 0) {
                return false;
              }
              running.values().removeIf(entry -> release(entry, lost.getKey()));
              return true;
            });
    slots.evictRemoved();
    ImmutableList.Builder<Decision> decisions = ImmutableList.builder();
    for (String service : ImmutableList.copyOf(queues.keySet())) {
      decisions.addAll(assignSlots(service, nowNanos));
    }
    return decisions.build();
  }

  /** Returns the number of waiting demands. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns the number of demands that have a slot. */
  public int runningCount() {
    return running.size();
  }

  /** Returns the number of demands and slots of each service, for logs. */
  public String describe() {
    StringBuilder text = new StringBuilder();
    queues.forEach(
        (service, queue) ->
            text.append(
                String.format(
                    "%s online %d late %d batch %d places %d free %d; ",
                    service,
                    queue.online().size(),
                    queue.late().size(),
                    queue.batch().size(),
                    slots.total(service),
                    slots.free(service))));
    return text.toString().trim();
  }

  private void dropWaiting(HostId host) {
    waiting
        .values()
        .removeIf(
            demand -> {
              if (!demand.id().host().equals(host)) {
                return false;
              }
              queue(demand.service()).remove(demand);
              return true;
            });
  }

  private boolean release(Running entry, HostId host) {
    if (!entry.demand.id().host().equals(host)) {
      return false;
    }
    slots.load(entry.backend).ended();
    return true;
  }

  private void recordResult(
      Running ended, BackendLoad load, PlacementResult result, long nowNanos) {
    switch (result) {
      case ANSWERED -> {
        load.succeeded();
        if (!ended.demand.batch()) {
          queue(ended.demand.service()).recordServiceTime(nowNanos - ended.sinceNanos);
        }
      }
      case FAILED, STALLED, NOT_RUN -> load.failed(nowNanos, rules);
      case REPLACED -> load.replaced();
      case CANCELLED -> {}
    }
  }

  private Optional<Decision> refusal(Demand demand, WaitingQueue queue, long nowNanos) {
    if (!slots.hasServers(demand.service())) {
      return Optional.of(
          refused(demand, RefusalReason.NO_BACKEND, NO_BACKEND_RETRY_DELAY.toNanos()));
    }
    int total = slots.total(demand.service());
    if (!demand.repeated() && total > 0) {
      int beingFreed =
          interruptibleItems(demand.service()).size() + revokedRunning(demand.service());
      int excess = queue.online().size() + 1 - slots.free(demand.service()) - beingFreed;
      double waitNanos = Math.max(0, excess) * queue.serviceNanos() / total;
      if (nowNanos + waitNanos > demand.objectiveNanos()) {
        return Optional.of(refused(demand, RefusalReason.TOO_LONG_A_WAIT, (long) waitNanos));
      }
    }
    return demand.organisation().flatMap(id -> overRate(demand, id, nowNanos));
  }

  private Optional<Decision> overRate(Demand demand, OrganisationId id, long nowNanos) {
    Organisation organisation =
        fleet
            .catalog()
            .map(Catalog::organisations)
            .map(organisations -> organisations.get(id))
            .orElse(null);
    if (organisation == null || organisation.ratePerSecond() <= 0) {
      return Optional.empty();
    }
    Grant grant = new Grant(organisation.ratePerSecond(), Math.max(1, organisation.burst()), 0);
    AdjustableTokenBucket bucket =
        buckets.computeIfAbsent(id, key -> new AdjustableTokenBucket(nowNanos));
    if (bucket.tryAcquire(grant, fraction, nowNanos)) {
      return Optional.empty();
    }
    return Optional.of(
        refused(demand, RefusalReason.OVER_RATE, (long) (1e9 / organisation.ratePerSecond())));
  }

  private Decision refused(Demand demand, RefusalReason reason, long waitNanos) {
    long spread = (long) (RETRY_DELAY_SPREAD.toMillis() * random.getAsDouble());
    long millis = Math.max(MIN_RETRY_DELAY.toMillis(), waitNanos / 1_000_000) + spread;
    return new Decision.Refused(demand.id(), reason, millis);
  }

  /**
   * Returns the batch items that may be interrupted, in the order in which to interrupt them: items
   * that are late anyway, then items with the latest objective. The reserved number of the most
   * urgent items is left out.
   */
  private List<Running> interruptibleItems(String service) {
    List<Running> items = new ArrayList<>();
    int urgent = 0;
    for (Running entry : running.values()) {
      if (entry.demand.batch() && entry.demand.service().equals(service) && !entry.revoked) {
        items.add(entry);
        urgent += isUrgent(entry.demand, entry.sinceNanos) ? 1 : 0;
      }
    }
    int reserved = Math.min(urgent, (int) (slots.total(service) * rules.urgentItemFraction()));
    items.sort(
        Comparator.comparing((Running entry) -> isUrgent(entry.demand, entry.sinceNanos))
            .thenComparing((Running entry) -> !isLate(entry.demand, entry.sinceNanos))
            .thenComparing(
                Comparator.comparingLong((Running entry) -> entry.demand.objectiveNanos())
                    .reversed()));
    return items.subList(0, items.size() - reserved);
  }

  /** Returns the number of items that were revoked and still hold their slots. */
  private int revokedRunning(String service) {
    int revoked = 0;
    for (Running entry : running.values()) {
      if (entry.revoked && entry.demand.service().equals(service)) {
        revoked++;
      }
    }
    return revoked;
  }

  private int urgentRunning(String service) {
    int urgent = 0;
    for (Running entry : running.values()) {
      if (entry.demand.service().equals(service)
          && entry.demand.batch()
          && isUrgent(entry.demand, entry.sinceNanos)) {
        urgent++;
      }
    }
    return urgent;
  }

  private boolean isUrgent(Demand demand, long startNanos) {
    return !isLate(demand, startNanos)
        && demand.objectiveNanos() - startNanos < rules.urgencyWindow().toNanos();
  }

  private static boolean isLate(Demand demand, long startNanos) {
    return demand.objectiveNanos() - startNanos <= 0;
  }

  private ImmutableList<Decision> assignSlots(String service, long nowNanos) {
    WaitingQueue queue = queue(service);
    ImmutableList.Builder<Decision> decisions = ImmutableList.builder();
    moveLate(queue, decisions, nowNanos);
    List<Demand> urgent = new ArrayList<>();
    List<Demand> lateItems = new ArrayList<>();
    for (Demand demand : queue.batch()) {
      if (isUrgent(demand, nowNanos)) {
        urgent.add(demand);
      } else if (isLate(demand, nowNanos)) {
        lateItems.add(demand);
      }
    }
    int reserved = (int) (slots.total(service) * rules.urgentItemFraction());
    int placeable = queue.online().isEmpty() ? urgent.size() : reserved - urgentRunning(service);
    placeAll(
        urgent.subList(0, Math.max(0, Math.min(placeable, urgent.size()))), 0, decisions, nowNanos);
    placeAll(new ArrayList<>(queue.online()), 0, decisions, nowNanos);
    interrupt(queue.online().size(), service, decisions);
    if (queue.online().isEmpty()) {
      int reserve = (int) Math.ceil(slots.total(service) * rules.onlineReserveFraction());
      List<Demand> items = new ArrayList<>(queue.batch());
      items.removeAll(lateItems);
      placeAll(items, reserve, decisions, nowNanos);
      placeAll(new ArrayList<>(queue.late()), 0, decisions, nowNanos);
      placeAll(lateItems, reserve, decisions, nowNanos);
    }
    return decisions.build();
  }

  /**
   * Refuses the online demands that waited past their objective, so that the caller can try again
   * in time. A repeated demand is kept waiting for a while longer, behind all that can be on time.
   */
  private void moveLate(
      WaitingQueue queue, ImmutableList.Builder<Decision> decisions, long nowNanos) {
    for (Demand demand : ImmutableList.copyOf(queue.online())) {
      if (nowNanos - demand.objectiveNanos() > 0) {
        queue.online().remove(demand);
        if (demand.repeated()) {
          queue.late().add(demand);
        } else {
          refuseWaiting(demand, decisions);
        }
      }
    }
    for (Demand demand : ImmutableList.copyOf(queue.late())) {
      double maxLateNanos =
          (demand.deadlineNanos() - demand.objectiveNanos()) * rules.lateWaitFraction();
      if (nowNanos - demand.objectiveNanos() > maxLateNanos) {
        queue.late().remove(demand);
        refuseWaiting(demand, decisions);
      }
    }
  }

  private void refuseWaiting(Demand demand, ImmutableList.Builder<Decision> decisions) {
    waiting.remove(demand.id());
    decisions.add(refused(demand, RefusalReason.WAITED_TOO_LONG, 0));
  }

  private void placeAll(
      List<Demand> demands, int reserve, ImmutableList.Builder<Decision> decisions, long nowNanos) {
    for (Demand demand : demands) {
      if (reserve > 0 && slots.free(demand.service()) <= reserve) {
        return;
      }
      Optional<BackendServer> backend = slots.choose(demand, fraction, nowNanos);
      if (backend.isEmpty()) {
        if (demand.excluded().isEmpty()) {
          return;
        }
        continue;
      }
      BackendServerId id = backend.get().id();
      slots.load(id).placed(nowNanos);
      waiting.remove(demand.id());
      queue(demand.service()).remove(demand);
      running.put(demand.id(), new Running(demand, id, nowNanos));
      decisions.add(new Decision.Placed(demand.id(), id));
    }
  }

  private void interrupt(int wanted, String service, ImmutableList.Builder<Decision> decisions) {
    int missing = wanted - revokedRunning(service);
    if (missing <= 0) {
      return;
    }
    interruptibleItems(service).stream()
        .limit(missing)
        .forEach(
            entry -> {
              entry.revoked = true;
              decisions.add(new Decision.Revoked(entry.demand.id()));
            });
  }

  private WaitingQueue queue(String service) {
    return queues.computeIfAbsent(
        service, key -> new WaitingQueue(rules.initialServiceTime().toNanos()));
  }
}
