package org.trefoilbarrow.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.standins.EngineProfile;
import org.trefoilbarrow.standins.EngineStandIn;

/**
 * Measures the rate of batch items through hosts relative to the capacity of the engines, and the
 * platform writes of a job.
 */
final class BatchBenchmark implements BenchmarkMain.Benchmark {
  private static final int ENGINES = 2;
  private static final int PERMITS = 24;
  private static final int TOKENS = 13;
  private static final Duration DIRECT_LOAD_TIME = Duration.ofSeconds(6);

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> items = Options.number(parser, "items", 8000);
    OptionSpec<String> hosts = parser.accepts("hosts").withRequiredArg().defaultsTo("1,3");
    OptionSet options = parser.parse(arguments);
    int count = options.valueOf(items);
    double capacity = measureEngines();
    System.out.printf("rate of the engines without hosts: %.0f items/s%n", capacity);
    System.out.printf(
        "%6s %8s %10s %8s %16s %18s%n",
        "hosts", "items", "items/s", "part", "writes for 1000", "bytes for 1000");
    for (String hostCount : options.valueOf(hosts).split(",")) {
      runJob(Integer.parseInt(hostCount), count, capacity);
    }
  }

  /** Returns the rate of responses when each engine is kept at its capacity without a host. */
  private static double measureEngines() throws InterruptedException {
    AtomicInteger responses = new AtomicInteger();
    List<EngineStandIn> engines = new ArrayList<>();
    ExecutorService callers = Executors.newFixedThreadPool(ENGINES * PERMITS);
    for (int i = 0; i < ENGINES; i++) {
      engines.add(EngineStandIn.start(0, BenchmarkFleets.engine(PERMITS)));
    }
    long end = System.nanoTime() + DIRECT_LOAD_TIME.toNanos();
    for (int i = 0; i < ENGINES * PERMITS; i++) {
      ApiClient engine = new ApiClient(engines.get(i % ENGINES).address(), "none");
      String body = ApiClient.chatBody("report", TOKENS, false).replace(Fleet.MODEL, "echo");
      callers.execute(
          () -> {
            while (System.nanoTime() < end) {
              engine.post("/v1/chat/completions", body);
              responses.incrementAndGet();
            }
          });
    }
    callers.shutdown();
    boolean ended = callers.awaitTermination(1, TimeUnit.MINUTES);
    engines.forEach(EngineStandIn::close);
    return ended ? responses.get() / (double) DIRECT_LOAD_TIME.toSeconds() : 0;
  }

  private static void runJob(int hosts, int items, double capacity) {
    EngineProfile profile = BenchmarkFleets.engine(PERMITS);
    try (Fleet fleet =
        Fleet.start(BenchmarkFleets.QUIET_SHORT_WARM_UP_SETTINGS, hosts, profile, profile)) {
      fleet.configure(OrganisationSpec.of(100_000, 100_000), PERMITS, PERMITS);
      // Warm up with a small job.
      awaitEnd(fleet, BenchmarkFleets.submit(fleet, "warm", 600, TOKENS), 600);
      long writesBefore = fleet.platform().writes();
      long bytesBefore = fleet.platform().bytesWritten();
      String job = BenchmarkFleets.submit(fleet, "measured", items, TOKENS);
      long writesSubmitted = fleet.platform().writes();
      long start = System.nanoTime();
      awaitEnd(fleet, job, items);
      double seconds = (System.nanoTime() - start) / 1e9;
      double idleWrites = idleWritesPerSecond(fleet) * seconds;
      double writes = fleet.platform().writes() - writesBefore - idleWrites;
      System.out.printf(
          "%6d %8d %10.0f %7.0f%% %16.1f %18.0f   (%d of the writes to submit)%n",
          hosts,
          items,
          items / seconds,
          100 * items / seconds / capacity,
          writes * 1000 / items,
          (fleet.platform().bytesWritten() - bytesBefore) * 1000.0 / items,
          writesSubmitted - writesBefore);
    }
  }

  private static double idleWritesPerSecond(Fleet fleet) {
    long before = fleet.platform().writes();
    Eventually.pause(Duration.ofSeconds(5));
    return (fleet.platform().writes() - before) / 5.0;
  }

  private static void awaitEnd(Fleet fleet, String job, int items) {
    Eventually.that("job ends", () -> fleet.caller(0).countDoneItems(job) == items);
  }
}
