package org.trefoilbarrow.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.standins.EngineProfile;

/**
 * Measures the tail latency of online requests, at a steady rate and in bursts, with and without a
 * batch job that uses all remaining capacity.
 */
final class PriorityBenchmark implements BenchmarkMain.Benchmark {
  private static final int PERMITS = 24;
  private static final int TOKENS = 10;
  private static final int BURST_SECONDS = 2;

  private final CloseableHttpClient client = StreamTimes.newClient();

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> hosts = Options.number(parser, "hosts", 3);
    OptionSpec<Integer> seconds = Options.number(parser, "seconds", 10);
    OptionSpec<Integer> rate = Options.number(parser, "rate", 20);
    OptionSet options = parser.parse(arguments);
    EngineProfile profile = BenchmarkFleets.engine(PERMITS);
    Map<String, StreamTimes> times = new LinkedHashMap<>();
    try (Fleet fleet =
        Fleet.start(
            BenchmarkFleets.QUIET_SHORT_WARM_UP_SETTINGS,
            options.valueOf(hosts),
            profile,
            profile)) {
      fleet.configure(OrganisationSpec.of(100_000, 100_000), PERMITS, PERMITS);
      load(fleet, options.valueOf(rate), options.valueOf(seconds), new StreamTimes());
      for (boolean withBatch : new boolean[] {false, true}) {
        String name = withBatch ? " with batch" : " without batch";
        String job = withBatch ? submit(fleet) : "";
        int doneBefore = withBatch ? fleet.caller(0).countDoneItems(job) : 0;
        long start = System.nanoTime();
        StreamTimes steady = times.computeIfAbsent("steady" + name, n -> new StreamTimes());
        load(fleet, options.valueOf(rate), options.valueOf(seconds), steady);
        StreamTimes burst = times.computeIfAbsent("burst x10" + name, n -> new StreamTimes());
        load(fleet, options.valueOf(rate) * 10, BURST_SECONDS, burst);
        double elapsedSeconds = (System.nanoTime() - start) / 1e9;
        if (withBatch) {
          int done = fleet.caller(0).countDoneItems(job) - doneBefore;
          System.out.printf("batch items/s during this load: %.0f%n", done / elapsedSeconds);
          fleet.caller(0).post("/v1/batches/" + job + "/cancel", "{}");
        }
      }
    }
    print(times);
    Plots.firstBytes(output.resolve("priority.png"), "time to the first token", times);
  }

  private void load(Fleet fleet, int perSecond, int seconds, StreamTimes times)
      throws InterruptedException {
    int hosts = fleet.hosts().size();
    String body = ApiClient.chatBody("a b c d", TOKENS, true);
    OpenLoop.run(
        perSecond,
        seconds,
        number -> times.request(client, fleet.host(number % hosts).address(), body));
  }

  private static String submit(Fleet fleet) {
    String job = BenchmarkFleets.submit(fleet, "hinge", 30_000, TOKENS);
    Eventually.that("batch runs", () -> fleet.caller(0).countDoneItems(job) > 500);
    return job;
  }

  private static void print(Map<String, StreamTimes> times) {
    System.out.printf(
        "%-24s %8s %8s %10s %10s %12s %12s%n",
        "load", "answers", "failures", "first p50", "first p99", "between p50", "between p99");
    times.forEach(
        (name, t) ->
            System.out.printf(
                "%-24s %8d %8d %10.2f %10.2f %12.2f %12.2f%n",
                name,
                t.totalMicros.getTotalCount(),
                t.failures.get(),
                Percentiles.millis(t.firstByteMicros, 50),
                Percentiles.millis(t.firstByteMicros, 99),
                Percentiles.millis(t.betweenChunksMicros, 50),
                Percentiles.millis(t.betweenChunksMicros, 99)));
  }
}
