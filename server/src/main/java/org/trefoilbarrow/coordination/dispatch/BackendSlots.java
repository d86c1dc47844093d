package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.math.IntMath;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.state.fleet.Service;

/**
 * The slots of all backend servers: how many exist, how many are free, and which server a demand is
 * placed at. Prefers the server with the smallest fraction of its slots in use; avoids servers that
 * failed recently and cold servers that have reached their tolerated rate. Not thread-safe.
 */
final class BackendSlots {
  /** The largest random addition to a score that breaks ties; small compared to one slot. */
  private static final double MAX_TIE_BREAK = 0.01;

  /** Added to the score of a server that failed: above the score of any healthy server. */
  private static final double FAILURE_PENALTY = 10;

  private final FleetView fleet;
  private final DispatchRules rules;
  private final DoubleSupplier random;
  private final LeavingServers leaving;
  private final Map<BackendServerId, BackendLoad> loads = new HashMap<>();
  private final Map<String, ImmutableList<BackendServer>> usable = new HashMap<>();
  private long indexedChangeCount = -1;
  private SlotShare share = SlotShare.ALL;
  private PlacementScope scope = PlacementScope.ALL_HOSTS;

  BackendSlots(
      FleetView fleet, DispatchRules rules, DoubleSupplier random, LeavingServers leaving) {
    this.fleet = checkNotNull(fleet, "fleet");
    this.rules = checkNotNull(rules, "rules");
    this.random = checkNotNull(random, "random");
    this.leaving = checkNotNull(leaving, "leaving");
  }

  /** Sets how many slots of each server may be assigned. */
  void setShare(SlotShare newShare) {
    share = newShare;
  }

  /** Sets whose work the slots are assigned to. */
  void setScope(PlacementScope newScope) {
    scope = newScope;
  }

  BackendLoad load(BackendServerId id) {
    return loads.computeIfAbsent(id, key -> new BackendLoad());
  }

  /** Evicts servers that left the fleet and run nothing. */
  void evictRemoved() {
    loads
        .entrySet()
        .removeIf(
            entry -> fleet.backend(entry.getKey()).isEmpty() && entry.getValue().running() == 0);
  }

  /** Returns whether a service has backend servers that work can be placed at, now or later. */
  boolean hasServers(String service, long nowNanos) {
    return usable(service).stream().anyMatch(backend -> isCurrent(backend, nowNanos));
  }

  /** Returns whether any server of a service has stated that it is leaving. */
  boolean hasLeaving(String service) {
    return leaving.count() > 0 && usable(service).stream().anyMatch(leaving::isLeaving);
  }

  /** Returns whether all servers of a service have stated that they are leaving. */
  boolean areAllLeaving(String service) {
    return usable(service).stream().allMatch(leaving::isLeaving);
  }

  /**
   * Returns whether all servers that the platform lists as ready for a demand have stated that they
   * are leaving. Each of them ends soon, so a slot of theirs is not worth waiting for.
   */
  boolean areAllLeaving(Demand demand) {
    boolean found = false;
    for (BackendServer backend : usable(demand.service())) {
      if (!demand.excluded().contains(backend.id())) {
        if (!leaving.isLeaving(backend)) {
          return false;
        }
        found = true;
      }
    }
    return found;
  }

  /** Returns the number of slots of a service that may be assigned, in use or not. */
  int total(String service, long nowNanos) {
    int total = 0;
    for (BackendServer backend : usable(service)) {
      if (isCurrent(backend, nowNanos)) {
        total = IntMath.saturatedAdd(total, share.slotsOf(backend));
      }
    }
    return total;
  }

  /** Returns the number of free slots of a service. */
  int free(String service, long nowNanos) {
    int free = 0;
    for (BackendServer backend : usable(service)) {
      if (isCurrent(backend, nowNanos)) {
        free =
            IntMath.saturatedAdd(
                free, Math.max(0, share.slotsOf(backend) - load(backend.id()).running()));
      }
    }
    return free;
  }

  /** Returns how much of the work reported as running must end before all slots can be assigned. */
  int overbooked(String service, long nowNanos) {
    int overbooked = 0;
    for (BackendServer backend : usable(service)) {
      if (isCurrent(backend, nowNanos)) {
        overbooked += Math.max(0, load(backend.id()).running() - share.slotsOf(backend));
      }
    }
    return overbooked;
  }

  /**
   * Returns the backend server to place a demand at, if one has a slot for it.
   *
   * @param fraction the fraction of each limit that this dispatcher may use
   */
  Optional<BackendServer> choose(Demand demand, double fraction, long nowNanos) {
    Set<BackendServerId> excluded = excludedServers(demand, nowNanos);
    if (scope == PlacementScope.OWN_HOST) {
      return chooseBetweenTwo(demand, excluded, fraction, nowNanos);
    }
    BackendServer best = null;
    double bestScore = Double.MAX_VALUE;
    for (BackendServer backend : usable(demand.service())) {
      if (!isEligible(backend, excluded, fraction, nowNanos)) {
        continue;
      }
      BackendLoad load = load(backend.id());
      double score =
          (double) load.running() / backend.slots() + random.getAsDouble() * MAX_TIE_BREAK;
      if (load.isPenalised(nowNanos)) {
        score += FAILURE_PENALTY;
      }
      if (score < bestScore) {
        bestScore = score;
        best = backend;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Chooses by the load that this host has placed. A server that rejected work goes last: its own
   * queue is full.
   */
  private Optional<BackendServer> chooseBetweenTwo(
      Demand demand, Set<BackendServerId> excluded, double fraction, long nowNanos) {
    ImmutableList<BackendServer> eligible =
        usable(demand.service()).stream()
            .filter(backend -> isEligible(backend, excluded, fraction, nowNanos))
            .collect(ImmutableList.toImmutableList());
    ImmutableList<BackendServer> accepting =
        eligible.stream()
            .filter(backend -> !load(backend.id()).isPenalised(nowNanos))
            .collect(ImmutableList.toImmutableList());
    return TwoRandomChoices.choose(
        accepting.isEmpty() ? eligible : accepting,
        backend -> (double) load(backend.id()).running() / backend.slots(),
        random);
  }

  private boolean isEligible(
      BackendServer backend, Set<BackendServerId> excluded, double fraction, long nowNanos) {
    BackendLoad load = load(backend.id());
    return isCurrent(backend, nowNanos)
        && !excluded.contains(backend.id())
        && load.running() < share.slotsOf(backend)
        && !load.isReportedLeaving(nowNanos, rules.leavingReportValidity())
        && !isAtColdRateLimit(backend, load, fraction, nowNanos);
  }

  /**
   * Returns the servers that a demand must not be placed at. An item goes back to a server that
   * failed it if there is no other; without that, it would wait for one for ever.
   */
  private Set<BackendServerId> excludedServers(Demand demand, long nowNanos) {
    boolean hasOthers =
        !demand.batch()
            || usable(demand.service()).stream()
                .filter(backend -> isCurrent(backend, nowNanos))
                .anyMatch(backend -> !demand.excluded().contains(backend.id()));
    return hasOthers ? demand.excluded() : ImmutableSet.of();
  }

  /** Returns the backend servers of a service that may get new requests. */
  private ImmutableList<BackendServer> usable(String service) {
    if (fleet.changeCount() != indexedChangeCount) {
      usable.clear();
      indexedChangeCount = fleet.changeCount();
    }
    return usable.computeIfAbsent(service, this::findUsable);
  }

  private ImmutableList<BackendServer> findUsable(String service) {
    return fleet.backends().stream()
        .filter(backend -> backend.service().equals(service) && fleet.isUsable(backend))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isCurrent(BackendServer backend, long nowNanos) {
    return !load(backend.id()).isReplaced(nowNanos) && !leaving.isLeaving(backend);
  }

  private boolean isAtColdRateLimit(
      BackendServer backend, BackendLoad load, double fraction, long nowNanos) {
    if (backend.coldUntilNanos() - nowNanos <= 0) {
      return false;
    }
    double rate =
        fleet
            .catalog()
            .map(catalog -> catalog.services().get(backend.service()))
            .map(Service::coldRatePerSecond)
            .orElse(0.0);
    return rate > 0
        && load.placedInLastSecond(nowNanos) + 1
            > Math.max(1, rate * rules.coldRateFraction() * fraction);
  }
}
