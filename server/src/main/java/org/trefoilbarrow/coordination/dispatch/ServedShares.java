package org.trefoilbarrow.coordination.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.trefoilbarrow.protocol.WorkSize;

/**
 * How often the demands of each class are served, compared with what their organisations get:
 * routes, failure domains of callers, and the large requests of each route. The comparison is with
 * the demand's own organisation, so that an organisation over its share lowers no class. Averages
 * are over the last hundreds of demands. Not thread-safe.
 */
final class ServedShares {
  /** A class that is served less often than this part of the mean goes first. */
  private static final double FLOOR = 0.95;

  private static final double DECAY = 0.995;
  private static final double MIN_EXPECTED = 30;
  private static final int MAX_ENTRIES = 20_000;

  /** The part of the requests of a route that are not large. */
  private static final double LARGE_QUANTILE = 0.9;

  private static final double QUANTILE_STEP = 0.05;

  private final Map<String, Count> organisations = new HashMap<>();
  private final Map<String, Count> classes = new HashMap<>();
  private final Map<String, Double> largeTokens = new HashMap<>();

  /** Decaying counts. */
  private static final class Count {
    double expected;
    double served;

    void add(double expectedNow, boolean servedNow) {
      expected = expected * DECAY + expectedNow;
      served = served * DECAY + (servedNow ? 1 : 0);
    }

    double fraction() {
      return expected > 0 ? served / expected : 1;
    }
  }

  /** Records that a demand was placed, or refused for want of a slot. */
  void record(Demand demand, boolean served) {
    if (organisations.size() > MAX_ENTRIES) {
      organisations.clear();
    }
    Count organisation =
        organisations.computeIfAbsent(FairQueue.organisationOf(demand), key -> new Count());
    organisation.add(1, served);
    double expected = organisation.fraction();
    for (String key : classesOf(demand)) {
      classes.computeIfAbsent(key, unused -> new Count()).add(expected, served);
    }
    recordSize(demand);
  }

  /** Returns whether a class of a demand was served too little, so that the demand goes first. */
  boolean isBelowFloor(Demand demand) {
    for (String key : classesOf(demand)) {
      Count count = classes.get(key);
      if (count != null && count.expected >= MIN_EXPECTED && count.fraction() < FLOOR) {
        return true;
      }
    }
    return false;
  }

  private void recordSize(Demand demand) {
    int tokens = tokens(demand);
    if (tokens > 0) {
      largeTokens.compute(
          demand.profile().route(),
          (route, large) ->
              large == null
                  ? tokens
                  : large
                      * (1
                          + QUANTILE_STEP
                              * (tokens > large ? LARGE_QUANTILE : LARGE_QUANTILE - 1)));
    }
  }

  private ImmutableList<String> classesOf(Demand demand) {
    ImmutableList.Builder<String> keys = ImmutableList.builder();
    String route = demand.profile().route();
    if (!route.isEmpty()) {
      keys.add("route " + route);
      if (tokens(demand) > largeTokens.getOrDefault(route, Double.MAX_VALUE)) {
        keys.add("large of " + route);
      }
    }
    demand.profile().callerDomain().ifPresent(domain -> keys.add("domain " + domain.value()));
    return keys.build();
  }

  private static int tokens(Demand demand) {
    WorkSize size = demand.profile().size();
    return size.promptTokens() + size.outputTokens();
  }
}
