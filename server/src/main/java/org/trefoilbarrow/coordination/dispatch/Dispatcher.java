package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;

/**
 * Places the work of all hosts at backend servers.
 *
 * <p>Handles load whose peaks exceed the slots for some seconds:
 *
 * <ul>
 *   <li>Online requests that can still be on time go first, by priority, and within a priority by
 *       fair shares of their organisations ({@link FairQueue}). They take the slots of batch items,
 *       which are interrupted and resumed later.
 *   <li>An online request whose expected wait in the queue of its organisation exceeds its
 *       objective is refused at once, with a time at which a slot is likely to be free ({@link
 *       Refusals}).
 *   <li>Online requests that missed their objective get only slots that no other work needs.
 *   <li>Batch items that are about to miss their objective go before all other work, up to a limit.
 *       Items that have missed it go last, so that an overload of items makes some late and not
 *       all.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class Dispatcher {
  /** The most demands that can be placed nowhere now and are passed over for those behind them. */
  private static final int MAX_PASSED_OVER = 4;

  private final DispatchRules rules;
  private final DoubleSupplier random;
  private final PartQuarantine quarantine;
  private final BackendSlots slots;
  private final RateLimits rateLimits;
  private final Refusals refusals;
  private final OrganisationWeights weights;
  private final Map<DemandId, RunningWork.Entry> running = new HashMap<>();
  private final Map<DemandId, Demand> waiting = new HashMap<>();
  private final Map<String, ServiceWork> services = new HashMap<>();
  private final Map<HostId, Long> lostHosts = new HashMap<>();
  private PlacementScope scope = PlacementScope.ALL_HOSTS;

  /**
   * Creates a dispatcher without work.
   *
   * @param random supplies numbers from 0 to 1, which spread the retries of callers and break ties
   *     between servers
   * @param quarantine the prompt parts whose demands get no slot
   * @param leaving the backend servers whose slots are not assigned
   */
  public Dispatcher(
      FleetView fleet,
      DispatchRules rules,
      DoubleSupplier random,
      PartQuarantine quarantine,
      LeavingServers leaving) {
    this.rules = checkNotNull(rules, "rules");
    this.random = checkNotNull(random, "random");
    this.quarantine = checkNotNull(quarantine, "quarantine");
    this.slots = new BackendSlots(fleet, rules, random, leaving);
    this.rateLimits = new RateLimits(fleet);
    this.refusals = new Refusals(rules, random, slots, rateLimits);
    this.weights = new OrganisationWeights(fleet);
  }

  /** Sets the fraction of each limit that this dispatcher may use, above 0 and at most 1. */
  public void setFraction(double fraction) {
    rateLimits.setFraction(fraction);
  }

  /** Sets how many slots of each backend server this dispatcher may assign. */
  public void setSlotShare(SlotShare share) {
    slots.setShare(checkNotNull(share, "share"));
  }

  /** Sets whose work this dispatcher places. */
  public void setScope(PlacementScope newScope) {
    scope = checkNotNull(newScope, "newScope");
    slots.setScope(newScope);
  }

  /** Submits a demand, which is placed, refused or kept waiting. A known demand is ignored. */
  public ImmutableList<Decision> submit(Demand demand, long nowNanos) {
    if (waiting.containsKey(demand.id()) || running.containsKey(demand.id())) {
      return ImmutableList.of();
    }
    Optional<Decision> quarantined = quarantined(demand, nowNanos);
    if (quarantined.isPresent()) {
      return ImmutableList.of(quarantined.get());
    }
    if (!demand.batch()) {
      ServiceWork work = work(demand.service());
      Optional<Decision> refusal = refusals.check(demand, work.waiting(), work.running(), nowNanos);
      if (refusal.isPresent()) {
        return ImmutableList.of(refusal.get());
      }
    }
    waiting.put(demand.id(), demand);
    work(demand.service()).waiting().add(demand, nowNanos);
    return assignSlots(demand.service(), nowNanos);
  }

  /** Registers work that a host reports as already running. */
  public void registerRunning(Demand demand, BackendServerId backend, long nowNanos) {
    if (!running.containsKey(demand.id())) {
      addRunning(demand, backend, nowNanos);
      slots.load(backend).registeredRunning();
    }
  }

  /** Refuses the waiting demands with a prompt part that is in quarantine. */
  public ImmutableList<Decision> refuseQuarantined(long nowNanos) {
    ImmutableList.Builder<Decision> decisions = ImmutableList.builder();
    for (Demand demand : ImmutableList.copyOf(waiting.values())) {
      Optional<Decision> decision = quarantined(demand, nowNanos);
      if (decision.isPresent()) {
        waiting.remove(demand.id());
        work(demand.service()).waiting().remove(demand);
        decisions.add(decision.get());
      }
    }
    return decisions.build();
  }

  /**
   * Removes a demand that has ended, whether it was waiting or running.
   *
   * @param report what its host saw of the response
   */
  public ImmutableList<Decision> finished(
      DemandId id, PlacementResult result, RunReport report, long nowNanos) {
    Demand waited = waiting.remove(id);
    if (waited != null) {
      work(waited.service()).waiting().remove(waited);
      return ImmutableList.of();
    }
    RunningWork.Entry ended = running.remove(id);
    if (ended == null) {
      return ImmutableList.of();
    }
    if (report.responseBegan()) {
      quarantine.seenSound(ended.demand().promptParts(), ended.sinceNanos(), nowNanos);
    }
    release(ended);
    recordResult(ended, result, nowNanos);
    return assignSlots(ended.demand().service(), nowNanos);
  }

  /** Removes all demands of a host that has restarted. */
  public void hostRestarted(HostId host) {
    lostHosts.remove(host);
    dropWaiting(host);
    releaseAll(host);
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
              releaseAll(lost.getKey());
              return true;
            });
    slots.evictRemoved();
    ImmutableList.Builder<Decision> decisions = ImmutableList.builder();
    for (String service : ImmutableList.copyOf(services.keySet())) {
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

  /** Returns the number of online demands that wait and can be on time, by organisation. */
  public Map<String, Integer> waitingByOrganisation() {
    Map<String, Integer> counts = new HashMap<>();
    services.values().forEach(work -> work.waiting().online().countOrganisationsInto(counts));
    return counts;
  }

  /** Returns the number of online demands that wait and can be on time, by route. */
  public Map<String, Integer> waitingByRoute() {
    Map<String, Integer> counts = new HashMap<>();
    services.values().forEach(work -> work.waiting().online().countRoutesInto(counts));
    return counts;
  }

  /** Returns the number of demands and slots of each service, for logs. */
  public String describe(long nowNanos) {
    StringBuilder text = new StringBuilder();
    services.forEach((service, work) -> text.append(work.describe(service, slots, nowNanos)));
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
              work(demand.service()).waiting().remove(demand);
              return true;
            });
  }

  private void releaseAll(HostId host) {
    running
        .values()
        .removeIf(
            entry -> {
              if (!entry.demand().id().host().equals(host)) {
                return false;
              }
              release(entry);
              return true;
            });
  }

  private void addRunning(Demand demand, BackendServerId backend, long nowNanos) {
    RunningWork.Entry entry =
        new RunningWork.Entry(demand, backend, nowNanos, isUrgent(demand, nowNanos));
    running.put(demand.id(), entry);
    work(demand.service()).running().add(entry);
  }

  private void release(RunningWork.Entry entry) {
    work(entry.demand().service()).running().remove(entry);
    slots.load(entry.backend()).ended();
  }

  private void recordResult(RunningWork.Entry ended, PlacementResult result, long nowNanos) {
    BackendLoad load = slots.load(ended.backend());
    switch (result) {
      case ANSWERED -> {
        load.succeeded();
        if (!ended.demand().batch()) {
          work(ended.demand().service())
              .waiting()
              .slotTimes()
              .record(ended.demand().profile().size(), nowNanos - ended.sinceNanos());
        }
      }
      case FAILED, STALLED, NOT_RUN -> load.failed(nowNanos, rules);
      case REPLACED -> load.replaced(nowNanos, rules);
      case LEAVING -> load.reportedLeaving(nowNanos);
      case CANCELLED, CONDITION_FAILED -> {}
    }
  }

  private Optional<Decision> quarantined(Demand demand, long nowNanos) {
    return quarantine
        .find(demand.promptParts(), nowNanos)
        .map(verdict -> new Decision.Quarantined(demand.id(), verdict));
  }

  private boolean isUrgent(Demand demand, long startNanos) {
    long remainingNanos = demand.objectiveNanos() - startNanos;
    return demand.batch() && remainingNanos > 0 && remainingNanos < rules.urgencyWindow().toNanos();
  }

  /**
   * Assigns the free slots of a service. Its cost does not grow with the number of waiting items,
   * which is largest when there is least time to decide.
   */
  private ImmutableList<Decision> assignSlots(String service, long nowNanos) {
    ServiceWork work = work(service);
    WaitingQueue queue = work.waiting();
    ImmutableList.Builder<Decision> decisions = ImmutableList.builder();
    addRefusals(refusals.refuseUnplaceable(service, queue), decisions);
    queue.late().addAll(queue.online().pollExpired(nowNanos));
    int total = slots.total(service, nowNanos);
    boolean startsItems = scope == PlacementScope.ALL_HOSTS;
    int urgentLimit =
        queue.online().isEmpty()
            ? Integer.MAX_VALUE
            : rules.urgentSlots(total) - work.running().urgentCount();
    place(
        service,
        queue.urgentItems(nowNanos, rules.urgencyWindow().toNanos()),
        startsItems ? urgentLimit : 0,
        0,
        decisions,
        nowNanos);
    placeOnline(service, queue, decisions, nowNanos);
    interrupt(queue.online().size(), work.running(), rules.urgentSlots(total), decisions);
    if (queue.online().isEmpty()) {
      int reserve = (int) Math.ceil(total * rules.onlineReserveFraction());
      int itemLimit = startsItems ? Integer.MAX_VALUE : 0;
      place(service, queue.timelyItems(nowNanos), itemLimit, reserve, decisions, nowNanos);
      placeAll(service, queue.late(), 0, decisions, nowNanos);
      place(service, queue.lateItems(nowNanos), itemLimit, reserve, decisions, nowNanos);
    }
    addRefusals(refusals.refuseLate(queue, work.running(), nowNanos), decisions);
    return decisions.build();
  }

  private void addRefusals(
      ImmutableList<Decision> refused, ImmutableList.Builder<Decision> decisions) {
    refused.forEach(refusal -> waiting.remove(refusal.demand()));
    decisions.addAll(refused);
  }

  /** Places the online demands that can still be on time, in the order of their queue. */
  private void placeOnline(
      String service,
      WaitingQueue queue,
      ImmutableList.Builder<Decision> decisions,
      long nowNanos) {
    int placeable = queue.online().isEmpty() ? 0 : slots.free(service, nowNanos);
    List<FairQueue.Entry> passedOver = new ArrayList<>();
    int unplaceable = 0;
    while (placeable > 0 && unplaceable < MAX_PASSED_OVER) {
      Optional<FairQueue.Entry> next = queue.online().poll();
      if (next.isEmpty()) {
        break;
      }
      Demand demand = next.get().demand();
      Optional<BackendServer> backend = slots.choose(demand, rateLimits.fraction(), nowNanos);
      if (backend.isPresent()) {
        queue.online().charge(next.get(), nowNanos);
        queue.servedShares().record(demand, true);
        placeAt(demand, backend.get().id(), decisions, nowNanos);
        placeable--;
      } else {
        passedOver.add(next.get());
        unplaceable += demand.excluded().isEmpty() ? 1 : 0;
      }
    }
    passedOver.forEach(entry -> queue.online().add(entry, nowNanos));
  }

  private void placeAll(
      String service,
      NavigableSet<Demand> demands,
      int reserve,
      ImmutableList.Builder<Decision> decisions,
      long nowNanos) {
    place(service, demands, Integer.MAX_VALUE, reserve, decisions, nowNanos);
  }

  /**
   * Places waiting demands in their order.
   *
   * @param limit the most demands to place
   * @param reserve the number of free slots to leave
   */
  private void place(
      String service,
      NavigableSet<Demand> demands,
      int limit,
      int reserve,
      ImmutableList.Builder<Decision> decisions,
      long nowNanos) {
    int placeable =
        demands.isEmpty() ? 0 : Math.min(limit, slots.free(service, nowNanos) - reserve);
    Iterator<Demand> remaining = demands.iterator();
    while (placeable > 0 && remaining.hasNext()) {
      Demand demand = remaining.next();
      Optional<BackendServer> backend = slots.choose(demand, rateLimits.fraction(), nowNanos);
      if (backend.isEmpty()) {
        if (demand.excluded().isEmpty()) {
          return;
        }
        continue;
      }
      remaining.remove();
      placeAt(demand, backend.get().id(), decisions, nowNanos);
      placeable--;
    }
  }

  private void placeAt(
      Demand demand, BackendServerId id, ImmutableList.Builder<Decision> decisions, long nowNanos) {
    waiting.remove(demand.id());
    slots.load(id).placed(nowNanos);
    addRunning(demand, id, nowNanos);
    decisions.add(new Decision.Placed(demand.id(), id));
  }

  private static void interrupt(
      int wanted, RunningWork running, int reserved, ImmutableList.Builder<Decision> decisions) {
    int missing = wanted - running.revokedCount();
    if (missing <= 0) {
      return;
    }
    int interrupted = Math.min(missing, running.interruptibleCount(reserved));
    for (int item = 0; item < interrupted; item++) {
      decisions.add(new Decision.Revoked(running.revokeNext().demand().id()));
    }
  }

  private ServiceWork work(String service) {
    return services.computeIfAbsent(service, key -> ServiceWork.create(rules, weights, random));
  }
}
