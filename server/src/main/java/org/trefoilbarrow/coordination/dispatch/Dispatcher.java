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
 * Places work of all hosts at backend servers.
 *
 * <p>Answers a load whose peaks exceed the places for seconds: online requests that can still be on
 * time go first by rank and objective, and take the places of batch items, which go on later; what
 * would wait for longer than its objective is refused at once, with the time after which the queue
 * will be short; requests that became late take only places that nobody else wants. Batch items
 * that are about to be late go before all others, within bounds; those that can no longer be on
 * time go last, so that an overload of items makes some late and not all.
 *
 * <p>Not thread-safe.
 */
public final class Dispatcher {
  private static final Duration NO_BACKEND_RETRY = Duration.ofMillis(400);
  private static final Duration MIN_RETRY = Duration.ofMillis(200);
  private static final Duration RETRY_SPREAD = Duration.ofMillis(600);

  private final FleetView fleet;
  private final DispatchRules rules;
  private final DoubleSupplier random;
  private final BackendSlots places;
  private final Map<DemandId, Running> running = new HashMap<>();
  private final Map<DemandId, Demand> waiting = new HashMap<>();
  private final Map<String, WaitingQueue> queues = new HashMap<>();
  private final Map<OrganisationId, AdjustableTokenBucket> buckets = new HashMap<>();
  private final Map<HostId, Long> lostHosts = new HashMap<>();
  private double part = 1;

  /** Work that has a place. */
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
   * @param random numbers from 0 to 1 that spread the times at which callers come back
   */
  public Dispatcher(FleetView fleet, DispatchRules rules, DoubleSupplier random) {
    this.fleet = checkNotNull(fleet, "fleet");
    this.rules = checkNotNull(rules, "rules");
    this.random = checkNotNull(random, "random");
    this.places = new BackendSlots(fleet, rules, random);
  }

  /** Sets the part of each limit that this dispatcher may give out, above 0 and at most 1. */
  public void setFraction(double part) {
    checkArgument(part > 0 && part <= 1, "part must be above 0 and at most 1: %s", part);
    this.part = part;
  }

  /** Takes a demand; it is placed, refused or kept waiting. */
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

  /** Counts work that a host already runs, as told by the host. */
  public void registerRunning(Demand demand, BackendServerId backend, long nowNanos) {
    if (running.putIfAbsent(demand.id(), new Running(demand, backend, nowNanos)) == null) {
      places.load(backend).registeredRunning();
    }
  }

  /** Ends a demand, whether it waits or runs. */
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
    BackendLoad load = places.load(ended.backend);
    load.ended();
    recordResult(ended, load, result, nowNanos);
    return assignSlots(ended.demand.service(), nowNanos);
  }

  /** Forgets all demands of a host that begins anew. */
  public void hostRestarted(HostId host) {
    lostHosts.remove(host);
    dropWaiting(host);
    running.values().removeIf(entry -> release(entry, host));
  }

  /** Forgets what a host that is no longer heard waits for, and later what it runs. */
  public void hostLost(HostId host, long nowNanos) {
    dropWaiting(host);
    lostHosts.put(host, nowNanos + rules.lostHostKept().toNanos());
  }

  /** Looks again at all that waits, after time has passed or the fleet has changed. */
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
    places.forgetGone();
    ImmutableList.Builder<Decision> decisions = ImmutableList.builder();
    for (String service : ImmutableList.copyOf(queues.keySet())) {
      decisions.addAll(assignSlots(service, nowNanos));
    }
    return decisions.build();
  }

  /** Returns the number of demands that wait. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns the number of demands that have a place. */
  public int runningCount() {
    return running.size();
  }

  /** Returns what each service's work does, for logs. */
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
                    places.count(service),
                    places.free(service))));
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
    places.load(entry.backend).ended();
    return true;
  }

  private void recordResult(
      Running ended, BackendLoad load, PlacementResult result, long nowNanos) {
    switch (result) {
      case ANSWERED -> {
        load.succeeded();
        if (!ended.demand.batch()) {
          queue(ended.demand.service()).measured(nowNanos - ended.sinceNanos);
        }
      }
      case FAILED, STALLED, NOT_RUN -> load.failed(nowNanos, rules);
      case REPLACED -> load.replaced();
      case CANCELLED -> {}
    }
  }

  private Optional<Decision> refusal(Demand demand, WaitingQueue queue, long nowNanos) {
    int all = places.count(demand.service());
    if (all == 0) {
      return Optional.of(refused(demand, RefusalReason.NO_BACKEND, NO_BACKEND_RETRY.toNanos()));
    }
    if (!demand.repeated()) {
      int coming = interruptibleItems(demand.service()).size() + revokedRunning(demand.service());
      int excess = queue.online().size() + 1 - places.free(demand.service()) - coming;
      double waitNanos = Math.max(0, excess) * queue.serviceNanos() / all;
      if (nowNanos + waitNanos > demand.objectiveNanos()) {
        return Optional.of(refused(demand, RefusalReason.TOO_LONG_A_WAIT, (long) waitNanos));
      }
    }
    return demand.organisation().flatMap(id -> overRate(demand, id, nowNanos));
  }

  private Optional<Decision> overRate(Demand demand, OrganisationId id, long nowNanos) {
    Organisation organisation =
        fleet.catalog().map(Catalog::organisations).map(all -> all.get(id)).orElse(null);
    if (organisation == null || organisation.ratePerSecond() <= 0) {
      return Optional.empty();
    }
    Grant grant = new Grant(organisation.ratePerSecond(), Math.max(1, organisation.burst()), 0);
    AdjustableTokenBucket bucket =
        buckets.computeIfAbsent(id, key -> new AdjustableTokenBucket(nowNanos));
    if (bucket.tryAcquire(grant, part, nowNanos)) {
      return Optional.empty();
    }
    return Optional.of(
        refused(demand, RefusalReason.OVER_RATE, (long) (1e9 / organisation.ratePerSecond())));
  }

  private Decision refused(Demand demand, RefusalReason reason, long waitNanos) {
    long spread = (long) (RETRY_SPREAD.toMillis() * random.getAsDouble());
    long millis = Math.max(MIN_RETRY.toMillis(), waitNanos / 1_000_000) + spread;
    return new Decision.Refused(demand.id(), reason, millis);
  }

  /**
   * Returns the batch items whose places may be taken, those first that can best wait: items that
   * are late anyway, then those whose objective is last. The most urgent items keep their part.
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
    int kept = Math.min(urgent, (int) (places.count(service) * rules.keptForUrgent()));
    items.sort(
        Comparator.comparing((Running entry) -> isUrgent(entry.demand, entry.sinceNanos))
            .thenComparing((Running entry) -> !isLate(entry.demand, entry.sinceNanos))
            .thenComparing(
                Comparator.comparingLong((Running entry) -> entry.demand.objectiveNanos())
                    .reversed()));
    return items.subList(0, items.size() - kept);
  }

  /** Returns the number of items that were asked to give their places back and have not yet. */
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
        && demand.objectiveNanos() - startNanos < rules.urgentBefore().toNanos();
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
    int kept = (int) (places.count(service) * rules.keptForUrgent());
    int room = queue.online().isEmpty() ? urgent.size() : kept - urgentRunning(service);
    placeAll(urgent.subList(0, Math.max(0, Math.min(room, urgent.size()))), 0, decisions, nowNanos);
    placeAll(new ArrayList<>(queue.online()), 0, decisions, nowNanos);
    interrupt(queue.online().size(), service, decisions);
    if (queue.online().isEmpty()) {
      int reserve = (int) Math.ceil(places.count(service) * rules.batchReserve());
      List<Demand> items = new ArrayList<>(queue.batch());
      items.removeAll(lateItems);
      placeAll(items, reserve, decisions, nowNanos);
      placeAll(new ArrayList<>(queue.late()), 0, decisions, nowNanos);
      placeAll(lateItems, reserve, decisions, nowNanos);
    }
    return decisions.build();
  }

  /**
   * Refuses what waited in vain until its objective: the caller can come back in time. A caller
   * that was refused before is kept waiting for a while longer, behind all that can be on time.
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
      double patience = (demand.deadlineNanos() - demand.objectiveNanos()) * rules.lateWaitPart();
      if (nowNanos - demand.objectiveNanos() > patience) {
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
      if (reserve > 0 && places.free(demand.service()) <= reserve) {
        return;
      }
      Optional<BackendServer> backend = places.choose(demand, part, nowNanos);
      if (backend.isEmpty()) {
        if (demand.excluded().isEmpty()) {
          return;
        }
        continue;
      }
      BackendServerId id = backend.get().id();
      places.load(id).placed(nowNanos);
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
        service, key -> new WaitingQueue(rules.firstServiceTime().toNanos()));
  }
}
