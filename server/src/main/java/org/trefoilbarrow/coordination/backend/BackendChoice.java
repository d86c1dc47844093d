package org.trefoilbarrow.coordination.backend;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.FailureDomainId;

/** Chooses the backend server for a request. */
@FunctionalInterface
public interface BackendChoice {
  /**
   * Returns one of the given backend servers.
   *
   * @param free the backend servers that may take the request now, at least one
   * @param affinity requests with the same value prefer the same backend server; empty for none
   */
  BackendCandidate choose(List<BackendCandidate> free, String affinity);

  /**
   * Returns the choice by the part of the permits in use, with a preference for a failure domain,
   * and for the same backend server for the same affinity as long as it is not much more loaded
   * than the least.
   */
  static BackendChoice byLoadAndAffinity(FailureDomainId ownDomain) {
    return new LoadAndAffinity(ownDomain);
  }

  /** Returns the choice of the backend server with the fewest requests of this host. */
  static BackendChoice leastInProgress() {
    return (free, affinity) ->
        free.stream().min(Comparator.comparingInt(BackendCandidate::inProgress)).orElseThrow();
  }

  /** Returns the choice of each backend server in turn. */
  static BackendChoice roundRobin() {
    AtomicInteger turn = new AtomicInteger();
    return (free, affinity) ->
        ImmutableList.copyOf(free).get(Math.floorMod(turn.getAndIncrement(), free.size()));
  }

  /** The choice by load, failure domain and affinity. */
  final class LoadAndAffinity implements BackendChoice {
    /** A preferred backend server is passed over when it is this much more loaded. */
    private static final double SLACK = 0.25;

    private final FailureDomainId ownDomain;

    private LoadAndAffinity(FailureDomainId ownDomain) {
      this.ownDomain = ownDomain;
    }

    @Override
    public BackendCandidate choose(List<BackendCandidate> free, String affinity) {
      BackendCandidate least =
          free.stream().min(Comparator.comparingDouble(this::cost)).orElseThrow();
      if (affinity.isEmpty()) {
        return least;
      }
      double bound = cost(least) + SLACK;
      return free.stream()
          .filter(candidate -> cost(candidate) <= bound)
          .max(
              Comparator.comparingLong(
                  candidate -> Rendezvous.score(affinity, candidate.definition().id())))
          .orElse(least);
    }

    /** Returns the load that one more request would bring, as a part of this host's permits. */
    private double cost(BackendCandidate candidate) {
      double load = (candidate.inProgress() + 1.0) / Math.max(1, candidate.limit());
      boolean near = candidate.definition().failureDomain().equals(ownDomain);
      return near ? load : load + SLACK / 2;
    }
  }
}
