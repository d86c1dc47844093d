package org.trefoilbarrow.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** {@code status}: shows the status reports of hosts. */
final class StatusCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> hosts =
      Arguments.host(parser, "the address of a host; may be given more than once");
  private final OptionSpec<Void> json =
      parser.accepts("json", "print the complete reports as JSON");

  @Override
  public String summary() {
    return "show the status reports of hosts";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream output) {
    Arguments.atMost(options, 0);
    List<String> addresses = options.valuesOf(hosts);
    for (String address : addresses) {
      try (HostClient client = new HostClient(address, Arguments.operatorKey())) {
        JsonNode report = client.get("/admin/v1/status");
        if (options.has(json)) {
          output.println(report.toPrettyString());
        } else {
          print(report, output);
        }
      }
    }
    return ExitCode.OK;
  }

  private static void print(JsonNode report, PrintStream output) {
    output.printf(
        "host %s %s revision %s shares %s/%s peers %s requests %s items %s violations %s%n",
        report.path("host").asText(),
        report.path("healthy").asBoolean() ? "healthy" : "UNHEALTHY",
        report.path("configurationRevision").asText(),
        report.path("sharesUsable").size(),
        report.path("sharesInAll").asText(),
        report.path("livePeers").size(),
        report.path("requestsInProgress").asText(),
        report.path("batchItems").asText(),
        report.path("boundViolations").asText());
    report.path("lateJobs").forEach(job -> output.printf("  late job %s%n", job.asText()));
    output.printf(
        "  %-24s %8s %8s %8s %9s %9s %12s %12s %12s%n",
        "organisation",
        "online",
        "batch",
        "failed",
        "over-rate",
        "within",
        "first p50 us",
        "first p99 us",
        "token p99 us");
    report
        .path("organisations")
        .fields()
        .forEachRemaining(
            field -> {
              JsonNode counts = field.getValue();
              output.printf(
                  "  %-24s %8s %8s %8s %9s %9s %12s %12s %12s%n",
                  field.getKey(),
                  counts.path("servedOnline"),
                  counts.path("servedBatch"),
                  counts.path("failedOnline"),
                  counts.path("refusedOverRate"),
                  counts.path("refusedWithinRate"),
                  counts.path("firstByteMicrosMedian"),
                  counts.path("firstByteMicros99"),
                  counts.path("tokenWaitMicros99"));
            });
    for (JsonNode backend : report.path("backends")) {
      output.printf(
          "  backend %-20s %-8s online %s batch %s lent %s borrowed %s limit %s%n",
          backend.path("backend").asText(),
          backend.path("temperature").asText(),
          backend.path("online"),
          backend.path("batch"),
          backend.path("lent"),
          backend.path("borrowed"),
          backend.path("limit"));
    }
  }
}
