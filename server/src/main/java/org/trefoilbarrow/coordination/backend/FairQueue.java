package org.trefoilbarrow.coordination.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * The waiting permit requests, served fairly by weight between organisations and in order within
 * one.
 *
 * <p>Start-time fair queueing: each organisation has a virtual time that grows by the inverse of
 * its weight with each request served; the organisation with the smallest virtual time is served
 * first. Not thread-safe.
 */
final class FairQueue {
  private final Map<OrganisationId, Lane> lanes = new HashMap<>();
  private double virtualTime;
  private int size;

  /** The requests of one organisation. */
  private static final class Lane {
    final Deque<PermitRequest> requests = new ArrayDeque<>();
    double start;
  }

  int size() {
    return size;
  }

  int size(OrganisationId organisation) {
    Lane lane = lanes.get(organisation);
    return lane == null ? 0 : lane.requests.size();
  }

  void add(PermitRequest request) {
    Lane lane = lanes.computeIfAbsent(request.organisation(), unused -> new Lane());
    if (lane.requests.isEmpty()) {
      lane.start = Math.max(lane.start, virtualTime);
    }
    lane.requests.addLast(request);
    size++;
  }

  boolean remove(PermitRequest request) {
    Lane lane = lanes.get(request.organisation());
    if (lane == null || !lane.requests.remove(request)) {
      return false;
    }
    size--;
    removeIfIdle(request.organisation(), lane);
    return true;
  }

  /**
   * Removes and returns the next request that can be served, if the first one of any organisation
   * can.
   */
  Optional<PermitRequest> poll(Predicate<PermitRequest> canServe) {
    Lane best = null;
    for (Lane lane : lanes.values()) {
      PermitRequest first = lane.requests.peekFirst();
      boolean earlier = best == null || lane.start < best.start;
      if (first != null && earlier && canServe.test(first)) {
        best = lane;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    PermitRequest request = best.requests.removeFirst();
    size--;
    virtualTime = best.start;
    best.start += 1.0 / request.weight();
    removeIfIdle(request.organisation(), best);
    return Optional.of(request);
  }

  private void removeIfIdle(OrganisationId organisation, Lane lane) {
    // An idle lane is kept while its virtual time is ahead, so that an organisation gains nothing
    // by
    // letting its queue run empty.
    if (lane.requests.isEmpty() && lane.start <= virtualTime) {
      lanes.remove(organisation);
    }
    if (size == 0) {
      lanes.clear();
      virtualTime = 0;
    }
  }
}
