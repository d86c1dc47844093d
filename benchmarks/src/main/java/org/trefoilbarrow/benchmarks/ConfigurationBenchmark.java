package org.trefoilbarrow.benchmarks;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.fleet.HostProcess;
import org.trefoilbarrow.operators.ConfigurationEntity;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.EntitySpec;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.protocol.Digests;

/**
 * Measures the cost of a large configuration: the time until a change is in force on all hosts, the
 * time of a restart, and the memory.
 */
final class ConfigurationBenchmark implements BenchmarkMain.Benchmark {
  private static final long MAX_MICROS = 60_000_000;

  private final HttpClient client = HttpClient.newHttpClient();

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> hosts = Options.number(parser, "hosts", 3);
    OptionSpec<Integer> organisations = Options.number(parser, "organisations", 14_000);
    OptionSpec<Integer> changes = Options.number(parser, "changes", 200);
    OptionSet options = parser.parse(arguments);
    Map<String, Histogram> times = new LinkedHashMap<>();
    try (Fleet fleet = Fleet.start(BenchmarkFleets.QUIET_SETTINGS, options.valueOf(hosts))) {
      fleet.configure(OrganisationSpec.of(100, 100));
      final long heapBeforeMib = liveHeapMib(fleet.host(0));
      times.put("small", measure(fleet, options.valueOf(changes)));
      load(fleet, options.valueOf(organisations));
      times.put("large", measure(fleet, options.valueOf(changes)));
      long heapAfterMib = liveHeapMib(fleet.host(0));
      double start = restart(fleet);
      print(times);
      System.out.printf(
          "heap in use after a collection: %d MiB before, %d MiB with %d organisations and keys%n",
          heapBeforeMib, heapAfterMib, options.valueOf(organisations));
      System.out.printf("a restarted host is healthy after %.1f s%n", start);
    }
    Plots.percentiles(output.resolve("configuration.png"), "time until in force", times);
  }

  /** Writes organisations, each with a key, straight to the platform, as if long before. */
  private void load(Fleet fleet, int organisations) throws IOException, InterruptedException {
    for (int i = 0; i < organisations; i++) {
      write(fleet, "o" + i, OrganisationSpec.of(10, 10));
      write(fleet, "k" + i, new KeySpec("o" + i, Digests.digest("key-" + i), false));
    }
    int expected = 2 * organisations;
    for (int host = 0; host < fleet.hosts().size(); host++) {
      ApiClient operator = fleet.operator(host);
      Eventually.that(
          "all entities are known", () -> status(operator).path("entities").asInt() >= expected);
    }
  }

  private void write(Fleet fleet, String name, EntitySpec spec)
      throws IOException, InterruptedException {
    ConfigurationEntity entity = ConfigurationEntity.of(name, spec);
    URI uri =
        URI.create(
            fleet.platform().address()
                + "/objects/configuration/"
                + entity.reference().objectName());
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .PUT(HttpRequest.BodyPublishers.ofString(ConfigurationJson.print(entity)))
            .build();
    client.send(request, HttpResponse.BodyHandlers.discarding());
  }

  /** Measures repeated changes of an organisation until every host has applied the change. */
  private static Histogram measure(Fleet fleet, int changes) {
    Histogram times = new Histogram(MAX_MICROS, 3);
    for (int i = 0; i < changes; i++) {
      int rate = 100 + i % 2;
      fleet
          .operator(i % fleet.hosts().size())
          .updateEntity("organisations/workshop", spec -> spec.put("requestsPerSecond", rate));
      long accepted = System.nanoTime();
      long version =
          fleet.operator(0).get("/admin/v1/organisations/workshop").json().path("version").asLong();
      for (int host = 0; host < fleet.hosts().size(); host++) {
        ApiClient operator = fleet.operator(host);
        while (status(operator).path("configurationRevision").asLong() < version) {
          Thread.onSpinWait();
        }
      }
      times.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - accepted) / 1000));
    }
    return times;
  }

  private static JsonNode status(ApiClient operator) {
    return operator.get("/admin/v1/status").json();
  }

  private static double restart(Fleet fleet) {
    HostProcess host = fleet.host(1);
    host.kill();
    long start = System.nanoTime();
    host.start();
    Eventually.that("host is back", host::isHealthy);
    return (System.nanoTime() - start) / 1e9;
  }

  /** Returns the heap in use of a host after a full garbage collection, in MiB. */
  private static long liveHeapMib(HostProcess host) throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                Long.toString(host.processId()),
                "GC.class_histogram")
            .redirectErrorStream(true)
            .start();
    String last =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .lines()
            .filter(line -> line.startsWith("Total"))
            .findFirst()
            .orElse("Total 0 0");
    process.waitFor();
    return Long.parseLong(last.trim().split("\\s+")[2]) >> 20;
  }

  private static void print(Map<String, Histogram> times) {
    System.out.printf("%-8s %8s %10s %10s %10s%n", "size", "changes", "p50 ms", "p99 ms", "max ms");
    times.forEach(
        (name, histogram) ->
            System.out.printf(
                "%-8s %8d %10.2f %10.2f %10.2f%n",
                name,
                histogram.getTotalCount(),
                Percentiles.millis(histogram, 50),
                Percentiles.millis(histogram, 99),
                histogram.getMaxValue() / Percentiles.MICROS_IN_MILLI));
  }
}
