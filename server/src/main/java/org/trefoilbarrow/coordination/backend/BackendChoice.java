package org.trefoilbarrow.coordination.backend;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.FailureDomainId;

/** A strategy that chooses the backend server for a request. */
@FunctionalInterface
public interface BackendChoice {
  /**
   * Returns one of the given backend servers.
   *
   * @param free the backend servers that may get the request now, at least one
   * @param affinity requests with the same value prefer the same backend server; empty for none
   */
  BackendCandidate choose(List<BackendCandidate> free, String affinity);

  /**
   * Returns the strategy that prefers the smallest fraction of permits in use, the given failure
   * domain, and the same backend server for the same affinity, unless that server is much more
   * loaded than the least loaded one.
   */
  static BackendChoice byLoadAndAffinity(FailureDomainId ownDomain) {
    return new LoadAndAffinity(ownDomain);
  }

  /** Returns the strategy that prefers the backend server with the fewest requests of this host. */
  static BackendChoice leastInProgress() {
    return (free, affinity) ->
        free.stream().min(Comparator.comparingInt(BackendCandidate::inProgress)).orElseThrow();
  }

  /** Returns the strategy that uses the backend servers in turn. */
  static BackendChoice roundRobin() {
    AtomicInteger turn = new AtomicInteger();
    return (free, affinity) ->
        ImmutableList.copyOf(free).get(Math.floorMod(turn.getAndIncrement(), free.size()));
  }

  /** The strategy by load, failure domain and affinity. */
  final class LoadAndAffinity implements BackendChoice {
    /** The load above the least at which a preferred backend server is no longer chosen. */
    private static final double MAX_EXCESS_LOAD = 0.25;

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
      double bound = cost(least) + MAX_EXCESS_LOAD;
      return free.stream()
          .filter(candidate -> cost(candidate) <= bound)
          .max(
              Comparator.comparingLong(
                  candidate -> Rendezvous.score(affinity, candidate.definition().id())))
          .orElse(least);
    }

    /** Returns the load with one more request, as a fraction of this host's permits. */
    private double cost(BackendCandidate candidate) {
      double load = (candidate.inProgress() + 1.0) / Math.max(1, candidate.limit());
      boolean near = candidate.definition().failureDomain().equals(ownDomain);
      return near ? load : load + MAX_EXCESS_LOAD / 2;
    }
  }
}
