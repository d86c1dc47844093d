package org.trefoilbarrow.command;

import java.io.IOException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.FleetConfiguration;

/**
 * {@code apply FILE} and {@code diff FILE}: apply the configuration in a file, or show what
 * applying it would change.
 */
final class ApplyCommand implements Command {
  private final boolean dryRun;
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> host = Arguments.anyHost(parser);
  private final OptionSpec<Void> deleteMissing =
      parser.accepts("delete-missing", "also delete entities that the file does not name");

  private ApplyCommand(boolean dryRun) {
    this.dryRun = dryRun;
    parser.nonOptions("FILE");
  }

  /** Returns the command that applies a configuration. */
  static ApplyCommand apply() {
    return new ApplyCommand(false);
  }

  /** Returns the command that shows what {@code apply} would change. */
  static ApplyCommand diff() {
    return new ApplyCommand(true);
  }

  @Override
  public String summary() {
    return dryRun
        ? "show what apply would change; exit code 1 if there are differences"
        : "apply the configuration in a file";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream output) throws IOException {
    String file = Arguments.required(options, 0, "FILE");
    Arguments.atMost(options, 1);
    FleetConfiguration desired = read(file);
    try (HostClient client = new HostClient(options.valueOf(host), Arguments.operatorKey())) {
      int changes = 0;
      for (ConfigurationPlan.Step step : ConfigurationPlan.of(desired, client).steps()) {
        boolean deletes = step.action() == ConfigurationPlan.Action.DELETE;
        if (step.action() == ConfigurationPlan.Action.KEEP
            || (deletes && !options.has(deleteMissing))) {
          continue;
        }
        changes++;
        if (!dryRun) {
          execute(client, step);
        }
        output.printf("%s %s%n", step.action().sign(), step.entity().reference());
      }
      output.printf("%d %s%n", changes, dryRun ? "differences" : "changes made");
      return dryRun && changes > 0 ? ExitCode.FAILED : ExitCode.OK;
    }
  }

  private static FleetConfiguration read(String file) throws IOException {
    try {
      return FleetConfiguration.fromJson(Arguments.readFile(file));
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitCode.USAGE, "%s: %s", file, e.getMessage());
    }
  }

  private static void execute(HostClient client, ConfigurationPlan.Step step) {
    String path = ConfigurationPlan.path(step.entity().reference());
    if (step.action() == ConfigurationPlan.Action.DELETE) {
      client.delete(path, step.version());
    } else {
      client.put(path, ConfigurationJson.print(step.entity().spec()), step.version());
    }
  }
}
