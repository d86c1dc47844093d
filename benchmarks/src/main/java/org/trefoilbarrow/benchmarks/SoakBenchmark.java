package org.trefoilbarrow.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.trefoilbarrow.coordination.backend.PermitSimulation;
import org.trefoilbarrow.coordination.token.TokenSimulation;
import org.trefoilbarrow.transport.batch.SegmentSimulationTest;

/**
 * Runs the simulations of tokens, permits and batch segments with many seeds, each with the hosts'
 * real code under seeded faults. Prints each seed that fails; the same seed repeats the run.
 */
final class SoakBenchmark implements BenchmarkMain.Benchmark {
  private static final Duration TOKEN_SIMULATION_TIME = Duration.ofMinutes(10);
  private static final Duration PERMIT_SIMULATION_TIME = Duration.ofMinutes(4);

  private final Map<String, Integer> failures = new LinkedHashMap<>();

  /** Runs one seed; returns the measured value, and throws if an invariant is violated. */
  @FunctionalInterface
  private interface Simulation {
    double run(long seed) throws IOException;
  }

  @Override
  public void run(String[] arguments, Path output) throws IOException {
    OptionParser parser = new OptionParser();
    final OptionSpec<Long> first =
        parser.accepts("first").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    final OptionSpec<Integer> seeds = Options.number(parser, "seeds", 100);
    OptionSpec<Integer> hosts = Options.number(parser, "hosts", 3);
    OptionSet options = parser.parse(arguments);
    int hostCount = options.valueOf(hosts);
    Map<String, Simulation> simulations = new LinkedHashMap<>();
    simulations.put("tokens, most of burst", seed -> runTokens(seed, hostCount));
    simulations.put("permits, most of all", seed -> runPermits(seed, hostCount));
    simulations.put("segments", SoakBenchmark::runSegments);
    System.out.printf("%-24s %8s %8s %10s %10s%n", "world", "seeds", "failed", "most", "seconds");
    XYSeriesCollection plotted = new XYSeriesCollection();
    for (Map.Entry<String, Simulation> simulation : simulations.entrySet()) {
      plotted.addSeries(
          run(
              simulation.getKey(),
              simulation.getValue(),
              options.valueOf(first),
              options.valueOf(seeds)));
    }
    Plots.lines(output.resolve("soak.png"), "randomised runs", "seed", "part of limit", plotted);
    if (failures.values().stream().anyMatch(count -> count > 0)) {
      throw new IllegalStateException("an invariant was violated: " + failures);
    }
  }

  private XYSeries run(String name, Simulation simulation, long first, int seeds)
      throws IOException {
    XYSeries series = new XYSeries(name);
    int failed = 0;
    long start = System.nanoTime();
    for (long seed = first; seed < first + seeds; seed++) {
      try {
        series.add(seed, simulation.run(seed));
      } catch (AssertionError e) {
        failed++;
        System.out.printf("%s, seed %d: %s%n", name, seed, e.getMessage());
      }
    }
    failures.put(name, failed);
    System.out.printf(
        "%-24s %8d %8d %10.4f %10.1f%n",
        name,
        seeds,
        failed,
        series.isEmpty() ? 0 : series.getMaxY(),
        (System.nanoTime() - start) / 1e9);
    return series;
  }

  private static double runTokens(long seed, int hosts) {
    TokenSimulation.Result result =
        new TokenSimulation(seed, hosts, TokenSimulation.Mutation.NONE).run(TOKEN_SIMULATION_TIME);
    if (result.violations() > 0 || result.poolViolations() > 0) {
      throw new AssertionError(result.toString());
    }
    return result.peakBurstFraction();
  }

  private static double runPermits(long seed, int hosts) {
    int excess =
        new PermitSimulation(seed, hosts, PermitSimulation.Mutation.NONE)
            .run(PERMIT_SIMULATION_TIME);
    if (excess > 0) {
      throw new AssertionError(excess + " over the permits");
    }
    return 1 + (double) excess / PermitSimulation.PERMITS;
  }

  private static double runSegments(long seed) throws IOException {
    SegmentSimulationTest simulation = new SegmentSimulationTest();
    simulation.everyItemHasOneResultWhateverFails(seed);
    simulation.jobThatIsCancelledAndCompletedAtOnceEndsOnce(seed % 60);
    return 1;
  }
}
