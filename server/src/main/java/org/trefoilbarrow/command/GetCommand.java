package org.trefoilbarrow.command;

import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** {@code get KIND [NAME]}: shows entities of the current configuration. */
final class GetCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> host = Arguments.anyHost(parser);

  GetCommand() {
    parser.nonOptions("KIND [NAME]");
  }

  @Override
  public String summary() {
    return "show the configuration entities of a kind, or one entity";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream output) {
    String kind = Arguments.required(options, 0, "KIND");
    Arguments.atMost(options, 2);
    String path = "/admin/v1/" + kind;
    if (options.nonOptionArguments().size() > 1) {
      path += "/" + options.nonOptionArguments().get(1);
    }
    try (HostClient client = new HostClient(options.valueOf(host), Arguments.operatorKey())) {
      output.println(client.get(path).toPrettyString());
      return ExitCode.OK;
    }
  }
}
