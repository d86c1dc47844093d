package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * The online demands of one service that wait and can still be on time. Priorities are served
 * strictly; within one, organisations by start-time fair queueing, at a cost in slot time and with
 * the weights of the organisations. Within an organisation, demands whose caller was refused before
 * or whose class was served too little go first, then those with the earliest objective.
 *
 * <p>Each operation takes time logarithmic in the waiting demands. Not thread-safe.
 */
final class FairQueue {
  private static final Comparator<Entry> BY_ID =
      Comparator.comparing((Entry entry) -> entry.demand.id().host().value())
          .thenComparingLong(entry -> entry.demand.id().call());
  private static final Comparator<Entry> BY_OBJECTIVE =
      Comparator.comparingLong((Entry entry) -> entry.demand.objectiveNanos()).thenComparing(BY_ID);
  static final Comparator<Entry> WITHIN_ORGANISATION =
      Comparator.comparing((Entry entry) -> !entry.first).thenComparing(BY_OBJECTIVE);

  /** The time over which it is measured what each organisation is served. */
  private static final double SHARE_TIME_CONSTANT_NANOS = 300e6;

  /** Bounds the scale of decaying sums, which grows with time instead of their values decaying. */
  private static final double MAX_EXPONENT = 40;

  private final ToDoubleFunction<String> weights;
  private final TreeMap<Integer, FairLevel> levels = new TreeMap<>();
  private final Map<DemandId, Entry> entries = new HashMap<>();
  private final Multiset<String> routes = HashMultiset.create();
  private final TreeSet<Entry> byObjective = new TreeSet<>(BY_OBJECTIVE);
  private double served;
  private boolean charged;
  private long landmarkNanos;

  /**
   * A waiting demand.
   *
   * @param cost its expected slot time in nanoseconds
   * @param first whether it goes before the other demands of its organisation
   */
  record Entry(Demand demand, double cost, boolean first) {}

  /**
   * What is served before a new demand.
   *
   * @param slotNanos the slot time of all that goes first
   * @param queueLength the number of waiting demands of the organisation
   * @param share the fraction of the slots that the organisation's queue gets
   * @param ageNanos for how long the organisation's queue has not been empty
   */
  record Backlog(double slotNanos, int queueLength, double share, long ageNanos) {}

  /**
   * Creates an empty queue.
   *
   * @param weights returns the weight of an organisation, above 0
   */
  FairQueue(ToDoubleFunction<String> weights) {
    this.weights = checkNotNull(weights, "weights");
  }

  /** Returns the name under which a demand's organisation is served; empty without one. */
  static String organisationOf(Demand demand) {
    return demand
        .profile()
        .caller()
        .or(demand::organisation)
        .map(organisation -> organisation.value())
        .orElse("");
  }

  int size() {
    return entries.size();
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the demands that wait now, in no order. */
  ImmutableList<Demand> demands() {
    return entries.values().stream().map(Entry::demand).collect(ImmutableList.toImmutableList());
  }

  void add(Entry entry, long nowNanos) {
    if (entries.putIfAbsent(entry.demand.id(), entry) == null) {
      byObjective.add(entry);
      routes.add(entry.demand.profile().route());
      String organisation = organisationOf(entry.demand);
      levelOf(entry.demand).add(organisation, weights.applyAsDouble(organisation), entry, nowNanos);
    }
  }

  /** Removes a demand, if it waits here. */
  void remove(DemandId id) {
    Entry entry = entries.remove(id);
    if (entry != null) {
      byObjective.remove(entry);
      routes.remove(entry.demand.profile().route());
      levelOf(entry.demand).remove(organisationOf(entry.demand), entry);
    }
  }

  /** Removes and returns the demand that is served next. */
  Optional<Entry> poll() {
    for (FairLevel level : levels.values()) {
      Optional<Entry> next = level.first();
      if (next.isPresent()) {
        remove(next.get().demand.id());
        return next;
      }
    }
    return Optional.empty();
  }

  /** Charges a demand that was polled and got a slot to its organisation. */
  void charge(Entry entry, long nowNanos) {
    if (!charged) {
      charged = true;
      landmarkNanos = nowNanos;
    }
    double exponent = (nowNanos - landmarkNanos) / SHARE_TIME_CONSTANT_NANOS;
    if (exponent > MAX_EXPONENT || exponent < 0) {
      double factor = Math.exp(-exponent);
      levels.values().forEach(level -> level.rescale(factor));
      served *= factor;
      landmarkNanos = nowNanos;
      exponent = 0;
    }
    double decayedCost = entry.cost * Math.exp(exponent);
    served += decayedCost;
    levelOf(entry.demand).charge(organisationOf(entry.demand), entry.cost, decayedCost);
  }

  /** Removes and returns the demands that have missed their objective. */
  ImmutableList<Demand> pollExpired(long nowNanos) {
    ImmutableList.Builder<Demand> expired = ImmutableList.builder();
    while (!byObjective.isEmpty() && nowNanos - byObjective.first().demand.objectiveNanos() > 0) {
      Demand demand = byObjective.first().demand;
      remove(demand.id());
      expired.add(demand);
    }
    return expired.build();
  }

  /** Returns what would be served before a new demand. */
  Backlog backlogBefore(Demand demand, long nowNanos) {
    double higher = 0;
    for (FairLevel level : levels.headMap(demand.priority(), false).values()) {
      higher += level.cost();
    }
    Backlog own = levelOf(demand).backlogOf(organisationOf(demand), served, nowNanos);
    return new Backlog(higher + own.slotNanos(), own.queueLength(), own.share(), own.ageNanos());
  }

  /** Adds the number of waiting demands of each organisation. */
  void countOrganisationsInto(Map<String, Integer> counts) {
    levels.values().forEach(level -> level.countInto(counts));
  }

  /** Adds the number of waiting demands of each route. */
  void countRoutesInto(Map<String, Integer> counts) {
    routes
        .entrySet()
        .forEach(route -> counts.merge(route.getElement(), route.getCount(), Integer::sum));
  }

  /** Returns the number of organisations whose state is kept, waiting or not. */
  int accountCount() {
    return levels.values().stream().mapToInt(FairLevel::accountCount).sum();
  }

  private FairLevel levelOf(Demand demand) {
    return levels.computeIfAbsent(demand.priority(), key -> new FairLevel());
  }
}
