package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.state.fleet.Service;

/**
 * The places at all backend servers: how many there are, how many are taken, and which one a demand
 * gets. Spreads work by the part of a server's places in use; spares servers that failed, and cold
 * ones that have what they tolerate. Not thread-safe.
 */
final class BackendSlots {
  /** Breaks ties between equally loaded servers; small against one place. */
  private static final double TIE_BREAK = 0.01;

  /** Added for a server that failed: above the score of any sound server. */
  private static final double PENALTY = 10;

  private final FleetView fleet;
  private final DispatchRules rules;
  private final DoubleSupplier random;
  private final Map<BackendServerId, BackendLoad> loads = new HashMap<>();

  BackendSlots(FleetView fleet, DispatchRules rules, DoubleSupplier random) {
    this.fleet = checkNotNull(fleet, "fleet");
    this.rules = checkNotNull(rules, "rules");
    this.random = checkNotNull(random, "random");
  }

  BackendLoad load(BackendServerId id) {
    return loads.computeIfAbsent(id, key -> new BackendLoad());
  }

  /** Forgets servers that are gone and run nothing. */
  void forgetGone() {
    loads
        .entrySet()
        .removeIf(
            entry -> fleet.backend(entry.getKey()).isEmpty() && entry.getValue().running() == 0);
  }

  /** Returns the places of a service, taken or not. */
  int count(String service) {
    int places = 0;
    for (BackendServer backend : fleet.backends()) {
      if (serves(backend, service)) {
        places += backend.slots();
      }
    }
    return places;
  }

  /** Returns the places of a service that are not taken. */
  int free(String service) {
    int free = 0;
    for (BackendServer backend : fleet.backends()) {
      if (serves(backend, service)) {
        free += Math.max(0, backend.slots() - load(backend.id()).running());
      }
    }
    return free;
  }

  /**
   * Returns the backend server that a demand gets, if one has a place for it.
   *
   * @param part the part of each limit that may be given out
   */
  Optional<BackendServer> choose(Demand demand, double part, long nowNanos) {
    BackendServer best = null;
    double bestScore = Double.MAX_VALUE;
    for (BackendServer backend : fleet.backends()) {
      if (!serves(backend, demand.service()) || demand.excluded().contains(backend.id())) {
        continue;
      }
      BackendLoad load = load(backend.id());
      if (load.running() >= backend.slots() || isColdAndBusy(backend, load, part, nowNanos)) {
        continue;
      }
      double score = (double) load.running() / backend.slots() + random.getAsDouble() * TIE_BREAK;
      if (load.isPenalised(nowNanos)) {
        score += PENALTY;
      }
      if (score < bestScore) {
        bestScore = score;
        best = backend;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean serves(BackendServer backend, String service) {
    return backend.service().equals(service)
        && fleet.isUsable(backend)
        && !load(backend.id()).isGone();
  }

  private boolean isColdAndBusy(
      BackendServer backend, BackendLoad load, double part, long nowNanos) {
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
        && load.sentInLastSecond(nowNanos) + 1 > Math.max(1, rate * rules.coldPart() * part);
  }
}
