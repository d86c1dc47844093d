package org.trefoilbarrow.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.PrintStream;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.trefoilbarrow.protocol.JsonCodec;

/** {@code job submit|status|results|cancel}: manages batch jobs with a caller's key. */
final class JobCommand implements Command {
  private static final String BATCHES = "/v1/batches";

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> host = Arguments.anyHost(parser);
  private final OptionSpec<String> window =
      parser
          .accepts("window", "the time in which the job should complete, such as 24h")
          .withRequiredArg()
          .defaultsTo("24h");
  private final OptionSpec<String> idempotencyKey =
      parser
          .accepts(
              "idempotency-key", "a repeated submission with the same key returns the same job")
          .withRequiredArg();
  private final OptionSpec<Void> errors = parser.accepts("errors", "print the failed items");

  JobCommand() {
    parser.nonOptions("submit FILE | status ID | results ID | cancel ID");
  }

  @Override
  public String summary() {
    return "submit a batch job, show it, print its results, or cancel it";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream output) {
    String action = Arguments.required(options, 0, "submit, status, results or cancel");
    String argument = Arguments.required(options, 1, "FILE or ID");
    Arguments.atMost(options, 2);
    try (HostClient client = new HostClient(options.valueOf(host), Arguments.callerKey())) {
      switch (action) {
        case "submit" -> submit(client, options, argument, output);
        case "status" -> print(client.get(BATCHES + "/" + argument), output);
        case "results" -> results(client, options, argument, output);
        case "cancel" ->
            print(
                client.post(BATCHES + "/" + argument + "/cancel", "{}", Optional.empty()), output);
        default ->
            throw new CommandException(
                ExitCode.USAGE,
                "action \"%s\" is not one of submit, status, results and cancel",
                action);
      }
      return ExitCode.OK;
    }
  }

  private void submit(HostClient client, OptionSet options, String fileName, PrintStream output) {
    File file = new File(fileName);
    if (!file.isFile()) {
      throw new CommandException(ExitCode.USAGE, "file \"%s\" is not readable", fileName);
    }
    String fileId = client.upload(file).path("id").asText();
    ObjectNode request = JsonCodec.mapper().createObjectNode();
    request.put("input_file_id", fileId).put("endpoint", "/v1/chat/completions");
    request.put("completion_window", options.valueOf(window));
    Optional<String> key = Optional.ofNullable(options.valueOf(idempotencyKey));
    output.println(client.post(BATCHES, request.toString(), key).path("id").asText());
  }

  private void results(HostClient client, OptionSet options, String id, PrintStream output) {
    JsonNode job = client.get(BATCHES + "/" + id);
    String field = options.has(errors) ? "error_file_id" : "output_file_id";
    if (job.path(field).isTextual()) {
      client.download("/v1/files/" + job.path(field).asText() + "/content", output);
    }
  }

  private static void print(JsonNode job, PrintStream output) {
    JsonNode counts = job.path("request_counts");
    output.printf(
        "%s %s total %s completed %s failed %s%s%n",
        job.path("id").asText(),
        job.path("status").asText(),
        counts.path("total"),
        counts.path("completed"),
        counts.path("failed"),
        job.path("late").asBoolean() ? " late" : "");
  }
}
