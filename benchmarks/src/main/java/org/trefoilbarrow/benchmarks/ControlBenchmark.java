package org.trefoilbarrow.benchmarks;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.protocol.Digests;

/**
 * Measures the cost of coordination for each host by the number of hosts and of organisations in
 * use: platform calls, messages and bytes between hosts, processor time and memory.
 */
final class ControlBenchmark implements BenchmarkMain.Benchmark {
  private static final int CALLER_THREADS = 8;

  /** The resources that all hosts together have used so far. */
  private record Usage(long platformCalls, long messages, long bytes, long processorTicks) {}

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> hosts = parser.accepts("hosts").withRequiredArg().defaultsTo("3,6,9");
    OptionSpec<String> organisations =
        parser.accepts("organisations").withRequiredArg().defaultsTo("0,50,200");
    OptionSpec<Integer> seconds = Options.number(parser, "seconds", 10);
    OptionSet options = parser.parse(arguments);
    System.out.printf(
        "for each host and second; each organisation in use makes one request in 5 s%n");
    System.out.printf(
        "%6s %14s %14s %10s %12s %12s %8s%n",
        "hosts", "organisations", "platform calls", "messages", "bytes", "processor %", "MiB");
    XYSeriesCollection bytes = new XYSeriesCollection();
    for (int hostCount : numbers(options.valueOf(hosts))) {
      XYSeries series = new XYSeries(hostCount + " hosts");
      bytes.addSeries(series);
      try (Fleet fleet = Fleet.start(BenchmarkFleets.QUIET_SETTINGS, hostCount)) {
        fleet.configure(OrganisationSpec.of(100, 100));
        int configured = 0;
        for (int used : numbers(options.valueOf(organisations))) {
          for (; configured < used; configured++) {
            addOrganisation(fleet, configured);
          }
          series.add(used, measure(fleet, hostCount, used, options.valueOf(seconds)));
        }
      }
    }
    Plots.lines(
        output.resolve("control.png"),
        "messages between hosts, bytes for each host and second",
        "organisations in use",
        "bytes/s",
        bytes);
  }

  private static List<Integer> numbers(String text) {
    return Splitter.on(',').splitToStream(text).map(Integer::valueOf).toList();
  }

  private static void addOrganisation(Fleet fleet, int number) {
    ApiClient operator = fleet.operator(0);
    put(operator, "organisations/o" + number, OrganisationSpec.of(10, 10));
    KeySpec key = new KeySpec("o" + number, Digests.digest("key-" + number), false);
    put(operator, "keys/k" + number, key);
  }

  private static void put(ApiClient operator, String name, Object spec) {
    operator.put("/admin/v1/" + name, ConfigurationJson.print(spec), "If-None-Match", "*");
  }

  /** Measures one load and returns the bytes for each host and second. */
  private static double measure(Fleet fleet, int hosts, int organisations, int seconds)
      throws IOException, InterruptedException {
    ExecutorService callers = Executors.newFixedThreadPool(CALLER_THREADS);
    useAll(fleet, hosts, organisations, callers);
    Eventually.pause(Duration.ofSeconds(3));
    Usage before = usage(fleet);
    for (int second = 0; second < seconds; second += 5) {
      long start = System.nanoTime();
      useAll(fleet, hosts, organisations, callers);
      long remainingNanos = Duration.ofSeconds(5).toNanos() - (System.nanoTime() - start);
      Eventually.pause(Duration.ofNanos(Math.max(0, remainingNanos)));
    }
    Usage after = usage(fleet);
    callers.shutdown();
    double hostSeconds = (double) hosts * seconds;
    double bytes = (after.bytes() - before.bytes()) / hostSeconds;
    System.out.printf(
        "%6d %14d %14.2f %10.1f %12.0f %12.2f %8d%n",
        hosts,
        organisations,
        (after.platformCalls() - before.platformCalls()) / hostSeconds,
        (after.messages() - before.messages()) / hostSeconds,
        bytes,
        100.0
            * (after.processorTicks() - before.processorTicks())
            / ProcessStats.TICKS_IN_SECOND
            / hostSeconds,
        ProcessStats.residentMib(fleet.host(0).processId()));
    return bytes;
  }

  private static void useAll(Fleet fleet, int hosts, int organisations, ExecutorService callers)
      throws InterruptedException {
    for (int i = 0; i < organisations; i++) {
      ApiClient caller = new ApiClient(fleet.host(i % hosts).address(), "key-" + i);
      callers.execute(() -> caller.get("/services/labels/x"));
      Thread.sleep(1);
    }
  }

  private static Usage usage(Fleet fleet) throws IOException {
    Usage sum = new Usage(0, 0, 0, 0);
    for (int i = 0; i < fleet.hosts().size(); i++) {
      JsonNode report = fleet.operator(i).get("/admin/v1/status").json();
      sum =
          new Usage(
              sum.platformCalls() + report.path("platformCalls").asLong(),
              sum.messages() + report.path("peerMessages").asLong(),
              sum.bytes() + report.path("peerBytes").asLong(),
              sum.processorTicks() + ProcessStats.processorTicks(fleet.host(i).processId()));
    }
    return sum;
  }
}
