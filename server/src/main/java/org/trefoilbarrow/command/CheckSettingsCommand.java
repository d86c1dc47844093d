package org.trefoilbarrow.command;

import java.io.PrintStream;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.trefoilbarrow.settings.Settings;
import org.trefoilbarrow.settings.SettingsLoader;

/** {@code check-settings FILE}: reports all errors of a settings file. */
final class CheckSettingsCommand implements Command {
  private final OptionParser parser = new OptionParser();

  CheckSettingsCommand() {
    parser.nonOptions("FILE");
  }

  @Override
  public String summary() {
    return "report all errors of a settings file";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream output) {
    String file = Arguments.required(options, 0, "FILE");
    Arguments.atMost(options, 1);
    Settings settings = SettingsLoader.load(Path.of(file));
    output.printf("%s: settings of host \"%s\" are valid%n", file, settings.host().name());
    return ExitCode.OK;
  }
}
