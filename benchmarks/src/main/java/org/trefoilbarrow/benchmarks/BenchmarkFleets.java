package org.trefoilbarrow.benchmarks;

import com.google.common.collect.ImmutableList;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.standins.EngineProfile;

/** The settings, engines and jobs that benchmarks have in common. */
final class BenchmarkFleets {
  /** Settings by which a host logs only warnings. */
  static final String QUIET_SETTINGS = "\"logging\": {\"level\": \"warn\"}";

  /** {@link #QUIET_SETTINGS}, and backend servers that are warm shortly after their start. */
  static final String QUIET_SHORT_WARM_UP_SETTINGS =
      QUIET_SETTINGS + "," + Fleet.SHORT_WARM_UP_SETTINGS;

  private static final int FIRST_TOKEN_MILLIS = 40;
  private static final int TOKEN_MILLIS = 5;

  private BenchmarkFleets() {}

  /** Returns an engine that runs as many requests at once as it has permits. */
  static EngineProfile engine(int permits) {
    return engine(permits, FIRST_TOKEN_MILLIS, TOKEN_MILLIS);
  }

  /** Returns an engine with the given times to the first token and between tokens. */
  static EngineProfile engine(int permits, long firstTokenMillis, long tokenMillis) {
    return new EngineProfile(
        ImmutableList.of("echo"), permits, firstTokenMillis, tokenMillis, permits, 0, 500);
  }

  /**
   * Submits a job and returns its identifier.
   *
   * @param name begins the identifiers and prompts of the items
   * @param tokens the number of tokens of each answer
   */
  static String submit(Fleet fleet, String name, int items, int tokens) {
    StringBuilder content = new StringBuilder();
    for (int i = 0; i < items; i++) {
      content.append(ApiClient.item(name + "-" + i, name + " report " + i, tokens));
    }
    return fleet.caller(0).submit(content.toString()).json().path("id").asText();
  }
}
