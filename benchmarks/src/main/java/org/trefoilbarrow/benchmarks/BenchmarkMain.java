package org.trefoilbarrow.benchmarks;

import ch.qos.logback.classic.Level;
import com.google.common.collect.ImmutableMap;
import io.dropwizard.logging.common.BootstrapLogging;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import joptsimple.OptionException;

/** Runs the benchmark that the first argument names. */
public final class BenchmarkMain {
  private static final int EXIT_USAGE = 2;
  private static final Path OUTPUT = Path.of("target", "benchmarks");
  private static final ImmutableMap<String, Benchmark> BENCHMARKS =
      ImmutableMap.<String, Benchmark>builder()
          .put("batch", new BatchBenchmark())
          .put("choice", new ChoiceBenchmark())
          .put("configuration", new ConfigurationBenchmark())
          .put("control", new ControlBenchmark())
          .put("latency", new LatencyBenchmark())
          .put("limits", new LimitsBenchmark())
          .put("loss", new LossBenchmark())
          .put("organisations", new OrganisationsBenchmark())
          .put("permits", new PermitsBenchmark())
          .put("priority", new PriorityBenchmark())
          .put("soak", new SoakBenchmark())
          .buildOrThrow();

  private BenchmarkMain() {}

  /** A benchmark. */
  @FunctionalInterface
  interface Benchmark {
    /** Runs the benchmark, prints a table and writes plots into a directory. */
    void run(String[] arguments, Path output) throws IOException, InterruptedException;
  }

  /** Runs the benchmark that the first argument names, with the other arguments as its options. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    BootstrapLogging.bootstrap(Level.WARN);
    Benchmark benchmark = arguments.length == 0 ? null : BENCHMARKS.get(arguments[0]);
    if (benchmark == null) {
      System.err.println(
          "usage: bin/benchmark NAME [OPTION...], NAME one of " + BENCHMARKS.keySet());
      System.exit(EXIT_USAGE);
      return;
    }
    Files.createDirectories(OUTPUT);
    try {
      benchmark.run(Arrays.copyOfRange(arguments, 1, arguments.length), OUTPUT);
      System.exit(0);
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
  }
}
