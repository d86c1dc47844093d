package org.trefoilbarrow.coordination.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * Demands that wait, served fairly by weight between organisations and in order within one.
 *
 * <p>Start-time fair queueing: each organisation has a virtual time that grows by the inverse of
 * its weight with each demand served; the organisation with the least goes first. Not thread-safe.
 */
final class FairQueue {
  private final Map<OrganisationId, Lane> lanes = new HashMap<>();
  private double virtualTime;
  private int size;

  /** The demands of one organisation. */
  private static final class Lane {
    final Deque<PermitRequest> demands = new ArrayDeque<>();
    double start;
  }

  int size() {
    return size;
  }

  int size(OrganisationId organisation) {
    Lane lane = lanes.get(organisation);
    return lane == null ? 0 : lane.demands.size();
  }

  void add(PermitRequest demand) {
    Lane lane = lanes.computeIfAbsent(demand.organisation(), unused -> new Lane());
    if (lane.demands.isEmpty()) {
      lane.start = Math.max(lane.start, virtualTime);
    }
    lane.demands.addLast(demand);
    size++;
  }

  boolean remove(PermitRequest demand) {
    Lane lane = lanes.get(demand.organisation());
    if (lane == null || !lane.demands.remove(demand)) {
      return false;
    }
    size--;
    dropIfIdle(demand.organisation(), lane);
    return true;
  }

  /** Removes and returns the next demand that can be served, if any organisation's first can. */
  Optional<PermitRequest> poll(Predicate<PermitRequest> canServe) {
    Lane best = null;
    for (Lane lane : lanes.values()) {
      PermitRequest first = lane.demands.peekFirst();
      boolean earlier = best == null || lane.start < best.start;
      if (first != null && earlier && canServe.test(first)) {
        best = lane;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    PermitRequest demand = best.demands.removeFirst();
    size--;
    virtualTime = best.start;
    best.start += 1.0 / demand.weight();
    dropIfIdle(demand.organisation(), best);
    return Optional.of(demand);
  }

  private void dropIfIdle(OrganisationId organisation, Lane lane) {
    // An idle lane is kept while its virtual time is ahead, so that leaving and coming back gains
    // nothing.
    if (lane.demands.isEmpty() && lane.start <= virtualTime) {
      lanes.remove(organisation);
    }
    if (size == 0) {
      lanes.clear();
      virtualTime = 0;
    }
  }
}
