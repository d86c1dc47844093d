package org.trefoilbarrow.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.trefoilbarrow.protocol.JsonCodec;

/** {@code key issue NAME ORGANISATION} and {@code key withdraw NAME}: manage callers' keys. */
final class KeyCommand implements Command {
  private static final String KEYS = "/admin/v1/keys/";

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> host = Arguments.anyHost(parser);

  KeyCommand() {
    parser.nonOptions("issue NAME ORGANISATION | withdraw NAME");
  }

  @Override
  public String summary() {
    return "issue a key, whose secret is printed once, or withdraw one";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream output) {
    String action = Arguments.required(options, 0, "issue or withdraw");
    String name = Arguments.required(options, 1, "NAME");
    try (HostClient client = new HostClient(options.valueOf(host), Arguments.operatorKey())) {
      switch (action) {
        case "issue" -> {
          Arguments.atMost(options, 3);
          String organisation = Arguments.required(options, 2, "ORGANISATION");
          issue(client, name, organisation, output);
        }
        case "withdraw" -> {
          Arguments.atMost(options, 2);
          withdraw(client, name, output);
        }
        default ->
            throw new CommandException(
                ExitCode.USAGE, "action \"%s\" is neither issue nor withdraw", action);
      }
      return ExitCode.OK;
    }
  }

  private static void issue(
      HostClient client, String name, String organisation, PrintStream output) {
    ObjectNode body = JsonCodec.mapper().createObjectNode().put("organisation", organisation);
    JsonNode issued = client.post(KEYS + name + "/issue", body.toString(), Optional.empty());
    output.println(issued.path("secret").asText());
  }

  private static void withdraw(HostClient client, String name, PrintStream output) {
    JsonNode found = client.get(KEYS + name);
    ObjectNode spec = (ObjectNode) found.path("spec");
    spec.put("withdrawn", true);
    client.put(KEYS + name, spec.toString(), found.path("version").asLong());
    output.printf("key \"%s\" is withdrawn%n", name);
  }
}
