package org.trefoilbarrow.benchmarks;

import com.google.common.base.Strings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.settings.BackendsSettings;
import org.trefoilbarrow.standins.EngineProfile;

/**
 * Compares the policies for choosing a backend server, with prompts that share prefixes and engines
 * that cache some of the prefixes; one engine is half as fast as the others.
 */
final class ChoiceBenchmark implements BenchmarkMain.Benchmark {
  private static final int PERMITS = 24;
  private static final int TOKENS = 10;
  private static final int PREFIXES = 60;
  private static final int CACHED_PREFIXES = 20;
  private static final int PREFIX_LENGTH = 600;

  private final CloseableHttpClient client = StreamTimes.newClient();

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> hosts = Options.number(parser, "hosts", 3);
    OptionSpec<Integer> seconds = Options.number(parser, "seconds", 12);
    OptionSpec<Integer> rate = Options.number(parser, "rate", 120);
    OptionSet options = parser.parse(arguments);
    Map<String, Histogram> firsts = new LinkedHashMap<>();
    System.out.printf(
        "%-20s %8s %8s %12s %12s%n", "choice", "answers", "failed", "first p50 ms", "first p99 ms");
    for (BackendsSettings.Choice choice : BackendsSettings.Choice.values()) {
      StreamTimes times =
          measure(choice, options.valueOf(hosts), options.valueOf(rate), options.valueOf(seconds));
      firsts.put(choice.name(), times.firstByteMicros);
      System.out.printf(
          "%-20s %8d %8d %12.2f %12.2f%n",
          choice,
          times.totalMicros.getTotalCount(),
          times.failures.get(),
          Percentiles.millis(times.firstByteMicros, 50),
          Percentiles.millis(times.firstByteMicros, 99));
    }
    Plots.percentiles(output.resolve("choice.png"), "time to the first token", firsts);
  }

  private StreamTimes measure(BackendsSettings.Choice choice, int hosts, int rate, int seconds)
      throws InterruptedException {
    String settings =
        BenchmarkFleets.QUIET_SETTINGS
            + ",\"backends\": {\"coldForMillis\": 100, \"rampForMillis\": 500, \"choice\": \""
            + choice
            + "\"}";
    try (Fleet fleet = Fleet.start(settings, hosts, engine(1), engine(1), engine(2))) {
      fleet.configure(new OrganisationSpec(100_000, 100_000, 1, 1000), PERMITS, PERMITS);
      load(fleet, rate, 3, new StreamTimes());
      StreamTimes times = new StreamTimes();
      load(fleet, rate, seconds, times);
      return times;
    }
  }

  private static EngineProfile engine(int slowness) {
    return BenchmarkFleets.engine(PERMITS, 80L * slowness, 8L * slowness)
        .withCachedPrefixes(CACHED_PREFIXES);
  }

  /** Sends prompts whose prefixes repeat; prefixes with a higher number repeat more often. */
  private void load(Fleet fleet, int rate, int seconds, StreamTimes times)
      throws InterruptedException {
    Random random = new Random(7);
    int[] prefixes =
        random.ints((long) rate * seconds, 0, PREFIXES * PREFIXES).map(Math::abs).toArray();
    OpenLoop.run(
        rate,
        seconds,
        number -> {
          int prefix = (int) Math.sqrt(prefixes[number]);
          String prompt = Strings.padEnd("flag " + prefix, PREFIX_LENGTH, '.') + " note " + number;
          String address = fleet.host(number % fleet.hosts().size()).address();
          times.request(client, address, ApiClient.chatBody(prompt, TOKENS, true));
        });
  }
}
