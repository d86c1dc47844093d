package org.trefoilbarrow.benchmarks;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.transport.backend.HttpClients;

/**
 * Measures an organisation's rate limit over all hosts together, with and without faults: the
 * requests admitted over the limit, those refused within it, and the latency of acquiring a token.
 */
final class LimitsBenchmark implements BenchmarkMain.Benchmark {
  private static final int RATE_PER_SECOND = 200;
  private static final int BURST = 100;
  private static final int OK = 200;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;
  private static final int CONNECTIONS = 512;
  private static final double NANOS_IN_SECOND = 1e9;
  private static final long MAX_MICROS = 60_000_000;

  private static final Pattern TOKEN_ACQUIRED =
      Pattern.compile("tokens: taken organisation/workshop (\\d+)");

  private final CloseableHttpClient client =
      HttpClients.pooled(Duration.ofMillis(300), CONNECTIONS);

  /**
   * A load and the faults during it.
   *
   * @param name the name in the table
   * @param perSecond the rate of requests, in requests per second
   * @param seconds the duration, in seconds
   * @param hostOf the host that receives a request, by the request's number
   * @param atThird the action after a third of the time
   * @param atTwoThirds the action after two thirds of the time
   */
  private record Scenario(
      String name,
      int perSecond,
      int seconds,
      IntUnaryOperator hostOf,
      Consumer<Fleet> atThird,
      Consumer<Fleet> atTwoThirds) {}

  /** The outcomes of a scenario's requests. */
  private static final class Outcome {
    final AtomicInteger offered = new AtomicInteger();
    final AtomicInteger admitted = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    long startNanos;
    final Histogram micros = new ConcurrentHistogram(MAX_MICROS, 3);
  }

  @Override
  public void run(String[] arguments, Path output) throws IOException, InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> hosts = Options.number(parser, "hosts", 3);
    OptionSpec<Integer> seconds = Options.number(parser, "seconds", 12);
    OptionSpec<Integer> outage = Options.number(parser, "outage-seconds", 60);
    OptionSpec<Void> faults = parser.accepts("no-faults");
    OptionSpec<String> only =
        parser.accepts("only", "part of a scenario's name").withRequiredArg().defaultsTo("");
    OptionSpec<Void> noBaseline = parser.accepts("no-baseline");
    OptionSet options = parser.parse(arguments);
    int count = options.valueOf(hosts);
    System.out.printf(
        "%d hosts, rate %d/s, burst %d; wrongful refusals in a thousand offered within the rate%n",
        count, RATE_PER_SECOND, BURST);
    System.out.printf(
        "%-10s %-26s %8s %8s %8s %7s %9s %9s %8s %8s%n",
        "limits",
        "scenario",
        "offered",
        "admitted",
        "refused",
        "failed",
        "wrongful",
        "over",
        "p50 ms",
        "p99 ms");
    for (boolean delegated : new boolean[] {false, true}) {
      if (!delegated && options.has(noBaseline)) {
        continue;
      }
      String extra =
          "\"logging\": {\"level\": \"debug\"}, \"shares\": {\"leaseMillis\": 120000,"
              + "\"staticHosts\": "
              + (delegated ? 0 : count)
              + "}";
      try (Fleet fleet = Fleet.start(extra, count)) {
        fleet.configure(new OrganisationSpec(RATE_PER_SECOND, BURST, 1, 1000));
        awaitTokens(fleet);
        for (Scenario scenario :
            scenarios(
                count, options.valueOf(seconds), options.valueOf(outage), !options.has(faults))) {
          if (!scenario.name().contains(options.valueOf(only))) {
            continue;
          }
          print(delegated ? "delegated" : "static", scenario, measure(fleet, scenario), fleet);
        }
        if (delegated) {
          printBoundViolations(fleet);
        }
      }
    }
  }

  private static List<Scenario> scenarios(int hosts, int seconds, int outage, boolean faults) {
    IntUnaryOperator even = number -> number % hosts;
    IntUnaryOperator skewed = number -> 0;
    Consumer<Fleet> nothing = fleet -> {};
    ImmutableList.Builder<Scenario> scenarios = ImmutableList.builder();
    scenarios.add(new Scenario("quiet, 0.5", RATE_PER_SECOND / 2, seconds, even, nothing, nothing));
    scenarios.add(
        new Scenario("even, 0.95", RATE_PER_SECOND * 95 / 100, seconds, even, nothing, nothing));
    scenarios.add(
        new Scenario(
            "one host, 0.95", RATE_PER_SECOND * 95 / 100, seconds, skewed, nothing, nothing));
    scenarios.add(new Scenario("five times", RATE_PER_SECOND * 5, seconds, even, nothing, nothing));
    if (!faults) {
      return scenarios.build();
    }
    int last = hosts - 1;
    scenarios.add(
        new Scenario(
            "platform outage, 0.8",
            RATE_PER_SECOND * 8 / 10,
            outage * 3,
            even,
            fleet -> fleet.platform().setOutage(true),
            fleet -> fleet.platform().setOutage(false)));
    scenarios.add(
        new Scenario(
            "frozen host, 0.8",
            RATE_PER_SECOND * 8 / 10,
            seconds * 2,
            even,
            fleet -> fleet.host(last).suspend(),
            fleet -> fleet.host(last).resume()));
    scenarios.add(
        new Scenario(
            "kill and restart, 0.8",
            RATE_PER_SECOND * 8 / 10,
            seconds * 2,
            even,
            fleet -> fleet.host(last).kill(),
            fleet -> fleet.host(last).start()));
    scenarios.add(
        new Scenario(
            "kill for good, 0.8",
            RATE_PER_SECOND * 8 / 10,
            seconds * 2,
            even,
            fleet -> fleet.host(last).kill(),
            nothing));
    return scenarios.build();
  }

  private void awaitTokens(Fleet fleet) {
    Outcome outcome = new Outcome();
    Eventually.that(
        "tokens are lent",
        () -> {
          request(fleet, 0, outcome);
          return outcome.admitted.get() > 0;
        });
    Eventually.pause(Duration.ofSeconds(6));
  }

  private Outcome measure(Fleet fleet, Scenario scenario) throws InterruptedException {
    // An idle time before each scenario lets the token buckets fill up to the burst.
    Eventually.pause(Duration.ofSeconds(3));
    Outcome outcome = new Outcome();
    outcome.startNanos = System.nanoTime();
    int count = scenario.perSecond() * scenario.seconds();
    OpenLoop.run(
        scenario.perSecond(),
        scenario.seconds(),
        number -> {
          if (number == count / 3) {
            scenario.atThird().accept(fleet);
          }
          if (number == count * 2 / 3) {
            scenario.atTwoThirds().accept(fleet);
          }
          request(fleet, scenario.hostOf().applyAsInt(number), outcome);
        });
    return outcome;
  }

  /** Sends a request; skips a host that cannot be reached, as a load balancer does. */
  private void request(Fleet fleet, int firstHost, Outcome outcome) {
    outcome.offered.incrementAndGet();
    long start = System.nanoTime();
    int hosts = fleet.hosts().size();
    for (int i = 0; i < hosts; i++) {
      int status = send(fleet.host((firstHost + i) % hosts).address());
      if (status == OK) {
        outcome.admitted.incrementAndGet();
        outcome.micros.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - start) / 1000));
        return;
      }
      if (status == TOO_MANY || status == UNAVAILABLE) {
        outcome.refused.incrementAndGet();
        return;
      }
    }
    outcome.failed.incrementAndGet();
  }

  private int send(String address) {
    HttpPost post = new HttpPost(URI.create(address + "/services/labels/echo"));
    post.setHeader("Authorization", "Bearer " + Fleet.CALLER_KEY);
    post.setEntity(new StringEntity("{}", ContentType.APPLICATION_JSON));
    post.setConfig(RequestConfig.custom().setResponseTimeout(Timeout.ofSeconds(5)).build());
    try {
      return client.execute(
          post,
          response -> {
            EntityUtils.consume(response.getEntity());
            return response.getCode();
          });
    } catch (IOException e) {
      return 0;
    }
  }

  private static void print(String limits, Scenario scenario, Outcome outcome, Fleet fleet) {
    int offered = outcome.offered.get();
    double allowed = Math.min(offered, BURST + (double) RATE_PER_SECOND * scenario.seconds());
    double wronglyRefused = Math.max(0, allowed - outcome.admitted.get() - outcome.failed.get());
    System.out.printf(
        "%-10s %-26s %8d %8d %8d %7d %9.2f %9.1f %8.2f %8.2f%n",
        limits,
        scenario.name(),
        offered,
        outcome.admitted.get(),
        outcome.refused.get(),
        outcome.failed.get(),
        1000 * wronglyRefused / allowed,
        maxExcess(tokenTimesNanos(fleet, outcome.startNanos)),
        Percentiles.millis(outcome.micros, 50),
        Percentiles.millis(outcome.micros, 99));
  }

  /**
   * Returns the times at which the hosts acquired tokens since a time. All processes of a machine
   * share the monotonic clock, so that the times of several hosts can be compared.
   */
  private static List<Long> tokenTimesNanos(Fleet fleet, long sinceNanos) {
    return fleet.hosts().stream()
        .flatMap(host -> TOKEN_ACQUIRED.matcher(host.readLog()).results())
        .map(acquired -> Long.parseLong(acquired.group(1)))
        .filter(nanos -> nanos >= sinceNanos)
        .toList();
  }

  /** Returns the maximum excess of tokens in any window over the burst and the rate, or 0. */
  private static double maxExcess(List<Long> tokenTimesNanos) {
    double bucketLevel = 0;
    double max = 0;
    long lastNanos = 0;
    for (long nanos : tokenTimesNanos.stream().sorted().toList()) {
      double leaked = lastNanos == 0 ? 0 : (nanos - lastNanos) / NANOS_IN_SECOND * RATE_PER_SECOND;
      bucketLevel = Math.max(0, bucketLevel - leaked) + 1;
      max = Math.max(max, bucketLevel - BURST);
      lastNanos = nanos;
    }
    return Math.max(0, max);
  }

  private static void printBoundViolations(Fleet fleet) {
    for (int i = 0; i < fleet.hosts().size(); i++) {
      if (fleet.host(i).isRunning()) {
        System.out.printf(
            "%s: bound violations %s%n",
            fleet.host(i).name(),
            fleet.operator(i).get("/admin/v1/status").json().path("boundViolations"));
      }
    }
  }
}
