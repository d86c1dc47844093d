package org.trefoilbarrow.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.fleet.HostProcess;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.standins.EngineProfile;

/**
 * Measures the cost of losing the host that runs a batch job: the time until the work resumes, and
 * the number of items that run again.
 */
final class LossBenchmark implements BenchmarkMain.Benchmark {
  private static final int HOSTS = 3;
  private static final int PERMITS = 24;
  private static final int TOKENS = 13;

  /** Fewer items than a segment holds, so that one host runs the whole job. */
  private static final int ITEMS = 900;

  /** The time within which the engine completes the requests of the lost host. */
  private static final Duration SETTLE_TIME = Duration.ofMillis(300);

  @Override
  public void run(String[] arguments, Path output) throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> rounds = Options.number(parser, "rounds", 4);
    OptionSet options = parser.parse(arguments);
    EngineProfile profile = BenchmarkFleets.engine(PERMITS);
    System.out.printf(
        "%-22s %14s %12s %10s%n", "loss of the holder", "pause seconds", "run again", "results");
    try (Fleet fleet = Fleet.start(BenchmarkFleets.QUIET_SHORT_WARM_UP_SETTINGS, HOSTS, profile)) {
      fleet.configure(OrganisationSpec.of(100_000, 100_000), PERMITS, PERMITS);
      for (int round = 0; round < options.valueOf(rounds); round++) {
        measure(fleet, "restart-" + round, true);
        measure(fleet, "good-" + round, false);
      }
    }
  }

  private static void measure(Fleet fleet, String name, boolean restartsAtOnce) {
    final String job = BenchmarkFleets.submit(fleet, name, ITEMS, TOKENS);
    Eventually.that("job runs", () -> completed(fleet, name) > ITEMS / 3);
    int lost = holder(fleet);
    HostProcess process = fleet.host(lost);
    process.kill();
    final long killedAt = System.nanoTime();
    if (restartsAtOnce) {
      process.start();
    }
    Eventually.pause(SETTLE_TIME);
    int before = completed(fleet, name);
    Eventually.that("work resumes", () -> completed(fleet, name) > before);
    double pauseSeconds = (System.nanoTime() - killedAt) / 1e9;
    int other = (lost + 1) % HOSTS;
    Eventually.that("job ends", () -> fleet.caller(other).countDoneItems(job) == ITEMS);
    System.out.printf(
        "%-22s %14.2f %12d %10d%n",
        restartsAtOnce ? "killed and restarted" : "killed for good",
        pauseSeconds,
        runs(fleet, name) - ITEMS,
        fleet.caller(other).results(job, "output").stream().distinct().count());
    if (!restartsAtOnce) {
      process.start();
    }
    Eventually.that("host is back", process::isHealthy);
  }

  private static int holder(Fleet fleet) {
    for (int host = 0; host < HOSTS; host++) {
      if (fleet.operator(host).get("/admin/v1/status").json().path("batchSegments").asInt() > 0) {
        return host;
      }
    }
    throw new IllegalStateException("no host runs the job");
  }

  private static int completed(Fleet fleet, String name) {
    return (int)
        fleet.engine(0).completions().keySet().stream().filter(p -> p.startsWith(name)).count();
  }

  private static int runs(Fleet fleet, String name) {
    return fleet.engine(0).completions().entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(name))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }
}
