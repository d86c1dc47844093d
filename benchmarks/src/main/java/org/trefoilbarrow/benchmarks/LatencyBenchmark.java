package org.trefoilbarrow.benchmarks;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.standins.EngineProfile;

/**
 * Measures the latency that a host adds to plain and streamed responses: the same load is sent in
 * turns straight to a model engine and through one host.
 */
final class LatencyBenchmark implements BenchmarkMain.Benchmark {
  private static final int TOKENS = 8;

  private final CloseableHttpClient client = StreamTimes.newClient();

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> rate = Options.number(parser, "rate", 500);
    OptionSpec<Integer> seconds = Options.number(parser, "seconds", 5);
    OptionSpec<Integer> rounds = Options.number(parser, "rounds", 3);
    OptionSet options = parser.parse(arguments);
    EngineProfile profile =
        new EngineProfile(ImmutableList.of("echo", Fleet.MODEL), 128, 10, 4, 128, 0, 500);
    try (Fleet fleet = Fleet.start(BenchmarkFleets.QUIET_SETTINGS, 1, profile)) {
      fleet.configure(OrganisationSpec.of(5000, 5000), 256, 256);
      System.out.printf(
          "memory at rest: %d MiB resident%n", ProcessStats.residentMib(fleet.host(0).processId()));
      Map<String, StreamTimes> times = new LinkedHashMap<>();
      for (int round = 0; round <= options.valueOf(rounds); round++) {
        // The first round warms up.
        Map<String, StreamTimes> target = round == 0 ? new LinkedHashMap<>() : times;
        for (boolean streamed : new boolean[] {false, true}) {
          String kind = streamed ? "streamed" : "plain";
          measure(
              fleet.engine(0).address(),
              streamed,
              options.valueOf(rate),
              options.valueOf(seconds),
              target.computeIfAbsent(kind + " engine", unused -> new StreamTimes()));
          measure(
              fleet.host(0).address(),
              streamed,
              options.valueOf(rate),
              options.valueOf(seconds),
              target.computeIfAbsent(kind + " host", unused -> new StreamTimes()));
        }
      }
      print(times);
      Plots.firstBytes(output.resolve("latency.png"), "time to the first byte", times);
      System.out.printf(
          "memory after load: %d MiB resident%n",
          ProcessStats.residentMib(fleet.host(0).processId()));
    }
  }

  private void measure(String address, boolean streamed, int rate, int seconds, StreamTimes times)
      throws InterruptedException {
    String body = ApiClient.chatBody("a b c d", TOKENS, streamed);
    OpenLoop.run(rate, seconds, number -> times.request(client, address, body));
  }

  private static void print(Map<String, StreamTimes> times) {
    System.out.printf(
        "%-16s %8s %8s %10s %10s %10s %10s%n",
        "case", "answers", "failures", "first p50", "first p99", "total p50", "total p99");
    times.forEach(
        (name, t) ->
            System.out.printf(
                "%-16s %8d %8d %10.2f %10.2f %10.2f %10.2f%n",
                name,
                t.totalMicros.getTotalCount(),
                t.failures.get(),
                Percentiles.millis(t.firstByteMicros, 50),
                Percentiles.millis(t.firstByteMicros, 99),
                Percentiles.millis(t.totalMicros, 50),
                Percentiles.millis(t.totalMicros, 99)));
    printAdded(times, "plain");
    printAdded(times, "streamed");
  }

  private static void printAdded(Map<String, StreamTimes> times, String kind) {
    StreamTimes engine = times.get(kind + " engine");
    StreamTimes host = times.get(kind + " host");
    System.out.printf(
        "added, %-9s %17s %10.2f %10.2f %10.2f %10.2f%n",
        kind,
        "",
        added(engine.firstByteMicros, host.firstByteMicros, 50),
        added(engine.firstByteMicros, host.firstByteMicros, 99),
        added(engine.totalMicros, host.totalMicros, 50),
        added(engine.totalMicros, host.totalMicros, 99));
  }

  private static double added(Histogram without, Histogram with, double percentile) {
    return Percentiles.millis(with, percentile) - Percentiles.millis(without, percentile);
  }
}
