package org.trefoilbarrow.benchmarks;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.EntitySpec;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.standins.EngineProfile;

/**
 * Measures the latency of the worst-served of several organisations: without contention, and while
 * one organisation sends five times its rate and another's batch job uses the remaining capacity.
 */
final class OrganisationsBenchmark implements BenchmarkMain.Benchmark {
  private static final int HOSTS = 3;
  private static final int ORGANISATIONS = 8;
  private static final int RATE_PER_SECOND = 20;
  private static final int OFFERED_PER_SECOND = 16;
  private static final int PERMITS = 24;
  private static final int TOKENS = 10;

  private final CloseableHttpClient client = StreamTimes.newClient();

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> seconds = Options.number(parser, "seconds", 15);
    OptionSet options = parser.parse(arguments);
    EngineProfile profile = BenchmarkFleets.engine(PERMITS);
    Map<String, Histogram> worst = new LinkedHashMap<>();
    try (Fleet fleet = Fleet.start(BenchmarkFleets.QUIET_SHORT_WARM_UP_SETTINGS, HOSTS, profile)) {
      fleet.configure(OrganisationSpec.of(100_000, 100_000), PERMITS, PERMITS);
      for (int i = 0; i < ORGANISATIONS; i++) {
        add(fleet, "o" + i, OrganisationSpec.of(RATE_PER_SECOND, RATE_PER_SECOND));
        add(fleet, "k" + i, new KeySpec("o" + i, Digests.digest(key(i)), false));
      }
      System.out.printf(
          "%-22s %10s %10s %10s %14s %14s%n",
          "load", "answers", "refused", "within", "worst p50 ms", "worst p99 ms");
      load(fleet, 3, OFFERED_PER_SECOND);
      worst.put("quiet", measure(fleet, "quiet", options.valueOf(seconds), OFFERED_PER_SECOND));
      String job = submit(fleet);
      worst.put(
          "contended", measure(fleet, "contended", options.valueOf(seconds), 5 * RATE_PER_SECOND));
      fleet.caller(0).post("/v1/batches/" + job + "/cancel", "{}");
    }
    Plots.percentiles(output.resolve("organisations.png"), "first token of the worst", worst);
  }

  private static String key(int organisation) {
    return "key-" + organisation;
  }

  private static void add(Fleet fleet, String name, EntitySpec spec) {
    String path = "/admin/v1/" + spec.kind().collection() + "/" + name;
    fleet.operator(0).put(path, ConfigurationJson.print(spec), "If-None-Match", "*");
  }

  /** Measures all organisations except the first, which offers the given rate. */
  private Histogram measure(Fleet fleet, String name, int seconds, int firstOfferedPerSecond)
      throws InterruptedException {
    long refusedBefore = refusedWithinRate(fleet);
    List<StreamTimes> times = load(fleet, seconds, firstOfferedPerSecond);
    List<StreamTimes> others = times.subList(1, times.size());
    StreamTimes worst =
        others.stream()
            .max(Comparator.comparingLong(t -> t.firstByteMicros.getValueAtPercentile(99)))
            .orElseThrow();
    System.out.printf(
        "%-22s %10d %10d %10d %14.2f %14.2f%n",
        name,
        others.stream().mapToLong(t -> t.totalMicros.getTotalCount()).sum(),
        others.stream().mapToInt(t -> t.failures.get()).sum(),
        refusedWithinRate(fleet) - refusedBefore,
        Percentiles.millis(worst.firstByteMicros, 50),
        Percentiles.millis(worst.firstByteMicros, 99));
    return worst.firstByteMicros;
  }

  private List<StreamTimes> load(Fleet fleet, int seconds, int firstOfferedPerSecond)
      throws InterruptedException {
    List<StreamTimes> times = new ArrayList<>();
    List<Thread> loads = new ArrayList<>();
    String body = ApiClient.chatBody("a b c d", TOKENS, true);
    for (int i = 0; i < ORGANISATIONS; i++) {
      StreamTimes own = new StreamTimes(key(i));
      int offeredPerSecond = i == 0 ? firstOfferedPerSecond : OFFERED_PER_SECOND;
      times.add(own);
      loads.add(
          new Thread(
              () -> {
                try {
                  OpenLoop.run(
                      offeredPerSecond,
                      seconds,
                      number -> own.request(client, fleet.host(number % HOSTS).address(), body));
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }));
    }
    loads.forEach(Thread::start);
    for (Thread thread : loads) {
      thread.join();
    }
    return times;
  }

  private static long refusedWithinRate(Fleet fleet) {
    return IntStream.range(0, HOSTS)
        .mapToObj(host -> fleet.operator(host).get("/admin/v1/status").json())
        .flatMap(report -> ImmutableList.copyOf(report.path("organisations")).stream())
        .mapToLong(counts -> counts.path("refusedWithinRate").asLong())
        .sum();
  }

  private static String submit(Fleet fleet) {
    String job = BenchmarkFleets.submit(fleet, "hinge", 20_000, TOKENS);
    Eventually.that("batch runs", () -> fleet.caller(0).countDoneItems(job) > 200);
    return job;
  }
}
