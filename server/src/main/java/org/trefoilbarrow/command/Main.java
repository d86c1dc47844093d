package org.trefoilbarrow.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.ServiceLoader;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.slf4j.LoggerFactory;
import org.trefoilbarrow.settings.SettingsException;

/** The entry point of the command line. */
public final class Main {
  private static final Supplier<ImmutableMap<String, Command>> COMMANDS =
      Suppliers.memoize(Main::commands);

  private Main() {}

  private static ImmutableMap<String, Command> commands() {
    ImmutableMap.Builder<String, Command> commands =
        ImmutableMap.<String, Command>builder()
            .put("serve", new ServeCommand())
            .put("check-settings", new CheckSettingsCommand())
            .put("dev", new DevCommand())
            .put("apply", ApplyCommand.apply())
            .put("diff", ApplyCommand.diff())
            .put("get", new GetCommand())
            .put("key", new KeyCommand())
            .put("status", new StatusCommand())
            .put("job", new JobCommand());
    ServiceLoader.load(Command.class).forEach(command -> commands.put(command.name(), command));
    return commands.buildOrThrow();
  }

  /** Runs the command that the arguments name and exits with its code. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    limitLogging();
    PrintStream output = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    PrintStream errors = new PrintStream(System.err, true, StandardCharsets.UTF_8);
    System.exit(run(arguments, output, errors).code());
  }

  /**
   * Leaves the console's logger at its default layout and logs warnings only. The commands that
   * need more configure logging themselves; the layouts of Dropwizard would slow the start of a
   * host.
   */
  private static void limitLogging() {
    ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
  }

  /** Runs the command that the arguments name. */
  static ExitCode run(String[] arguments, PrintStream output, PrintStream errors)
      throws IOException, InterruptedException {
    if (arguments.length == 0) {
      printUsage(errors);
      return ExitCode.USAGE;
    }
    if (arguments[0].equals("--help") || arguments[0].equals("help")) {
      printUsage(output);
      return ExitCode.OK;
    }
    Command command = COMMANDS.get().get(arguments[0]);
    if (command == null) {
      errors.printf("command \"%s\" does not exist%n", arguments[0]);
      printUsage(errors);
      return ExitCode.USAGE;
    }
    return run(command, Arrays.copyOfRange(arguments, 1, arguments.length), output, errors);
  }

  private static ExitCode run(
      Command command, String[] arguments, PrintStream output, PrintStream errors)
      throws IOException, InterruptedException {
    OptionParser parser = command.parser();
    OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has(help)) {
        output.println(command.summary());
        parser.printHelpOn(output);
        return ExitCode.OK;
      }
      return command.run(options, output);
    } catch (OptionException | SettingsException e) {
      errors.println(e.getMessage());
      return ExitCode.USAGE;
    } catch (CommandException e) {
      errors.println(e.getMessage());
      return e.exitCode();
    }
  }

  private static void printUsage(PrintStream stream) {
    stream.println("usage: trefoilbarrow COMMAND [OPTION...] [ARGUMENT...]");
    for (Map.Entry<String, Command> entry : COMMANDS.get().entrySet()) {
      stream.printf("  %-16s%s%n", entry.getKey(), entry.getValue().summary());
    }
    stream.println("trefoilbarrow COMMAND --help shows the options of a command.");
    stream.println(
        "exit codes: 0 success, 1 failure or differences, 2 invalid arguments or settings, "
            + "3 refused by the host, 4 no response from the host");
  }
}
