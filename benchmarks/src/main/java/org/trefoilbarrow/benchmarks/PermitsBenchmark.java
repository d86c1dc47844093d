package org.trefoilbarrow.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
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
 * Measures the throughput of one backend server's permits when callers use all hosts and when they
 * all use one host; the options also allow fewer permits than hosts.
 */
final class PermitsBenchmark implements BenchmarkMain.Benchmark {
  private static final int TOKENS = 20;
  private static final int FIRST_TOKEN_MILLIS = 40;
  private static final int TOKEN_MILLIS = 8;

  private final CloseableHttpClient client = StreamTimes.newClient();

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> hosts = Options.number(parser, "hosts", 3);
    OptionSpec<Integer> seconds = Options.number(parser, "seconds", 10);
    OptionSpec<Integer> permits = Options.number(parser, "permits", 24);
    OptionSet options = parser.parse(arguments);
    int hostCount = options.valueOf(hosts);
    int permitCount = options.valueOf(permits);
    EngineProfile profile = BenchmarkFleets.engine(permitCount, FIRST_TOKEN_MILLIS, TOKEN_MILLIS);
    Map<String, Histogram> firsts = new LinkedHashMap<>();
    try (Fleet fleet =
        Fleet.start(BenchmarkFleets.QUIET_SHORT_WARM_UP_SETTINGS, hostCount, profile)) {
      fleet.configure(new OrganisationSpec(100_000, 100_000, 1, 1000), permitCount, permitCount);
      System.out.printf(
          "%d hosts, one backend server with %d permits, as many callers%n",
          hostCount, permitCount);
      System.out.printf(
          "%-12s %10s %8s %8s %12s %12s%n",
          "callers at", "answers/s", "part", "failed", "first p50 ms", "first p99 ms");
      measure(fleet, permitCount, 2, "warm-up", number -> number % hostCount);
      firsts.put(
          "all hosts",
          measure(
              fleet,
              permitCount,
              options.valueOf(seconds),
              "all hosts",
              number -> number % hostCount));
      firsts.put(
          "one host",
          measure(fleet, permitCount, options.valueOf(seconds), "one host", number -> 0));
    }
    Plots.percentiles(output.resolve("permits.png"), "time to the first token", firsts);
  }

  /** Runs as many callers as there are permits, each with one request at a time. */
  private Histogram measure(
      Fleet fleet, int callers, int seconds, String name, IntUnaryOperator hostOf)
      throws InterruptedException {
    StreamTimes times = new StreamTimes();
    String body = ApiClient.chatBody("a b c d", TOKENS, true);
    ExecutorService executor = Executors.newFixedThreadPool(callers);
    long start = System.nanoTime();
    long end = start + Duration.ofSeconds(seconds).toNanos();
    for (int i = 0; i < callers; i++) {
      String address = fleet.host(hostOf.applyAsInt(i)).address();
      executor.execute(
          () -> {
            while (System.nanoTime() < end) {
              times.request(client, address, body);
            }
          });
    }
    executor.shutdown();
    if (!executor.awaitTermination(2, TimeUnit.MINUTES)) {
      executor.shutdownNow();
    }
    double elapsedSeconds = (System.nanoTime() - start) / 1e9;
    double perSecond = times.totalMicros.getTotalCount() / elapsedSeconds;
    double fullRate = callers * 1000.0 / (FIRST_TOKEN_MILLIS + (TOKENS - 1) * TOKEN_MILLIS);
    System.out.printf(
        "%-12s %10.1f %7.0f%% %8d %12.2f %12.2f%n",
        name,
        perSecond,
        100 * perSecond / fullRate,
        times.failures.get(),
        Percentiles.millis(times.firstByteMicros, 50),
        Percentiles.millis(times.firstByteMicros, 99));
    return times.firstByteMicros;
  }
}
