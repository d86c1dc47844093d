package org.trefoilbarrow.command;

import com.google.common.base.Strings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Reads the arguments and options that commands share. */
final class Arguments {
  private static final String DEFAULT_HOST = "http://127.0.0.1:8080";

  private static final String OPERATOR_KEY_VARIABLE = "TREFOILBARROW_OPERATOR_KEY";
  private static final String CALLER_KEY_VARIABLE = "TREFOILBARROW_KEY";

  private Arguments() {}

  /** Adds the option that names any host of a fleet. */
  static OptionSpec<String> anyHost(OptionParser parser) {
    return host(parser, "the address of any host");
  }

  /** Adds the option that names a host, with its description. */
  static OptionSpec<String> host(OptionParser parser, String description) {
    return parser.accepts("host", description).withRequiredArg().defaultsTo(DEFAULT_HOST);
  }

  /** Returns the argument at a position, which must be present. */
  static String required(OptionSet options, int position, String name) {
    List<?> arguments = options.nonOptionArguments();
    if (position >= arguments.size()) {
      throw new CommandException(ExitCode.USAGE, "argument %s is missing", name);
    }
    return arguments.get(position).toString();
  }

  /** Checks that there are at most the given number of arguments. */
  static void atMost(OptionSet options, int count) {
    List<?> arguments = options.nonOptionArguments();
    if (arguments.size() > count) {
      throw new CommandException(
          ExitCode.USAGE, "argument \"%s\" is unexpected", arguments.get(count));
    }
  }

  /** Returns the text of a file. */
  static String readFile(String name) throws IOException {
    Path path = Path.of(name);
    if (!Files.isReadable(path) || Files.isDirectory(path)) {
      throw new CommandException(ExitCode.USAGE, "file \"%s\" is not readable", name);
    }
    return Files.readString(path);
  }

  static String operatorKey() {
    return fromEnvironment(OPERATOR_KEY_VARIABLE);
  }

  static String callerKey() {
    return fromEnvironment(CALLER_KEY_VARIABLE);
  }

  private static String fromEnvironment(String variable) {
    String key = System.getenv(variable);
    if (Strings.isNullOrEmpty(key)) {
      throw new CommandException(
          ExitCode.USAGE, "environment variable %s is not set; it must hold a key", variable);
    }
    return key;
  }
}
