package org.trefoilbarrow.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.InstantSource;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.settings.Settings;
import org.trefoilbarrow.settings.SettingsLoader;

/** {@code serve}: runs a host until the process is stopped. */
final class ServeCommand implements Command {
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> file =
      parser.accepts("settings", "the settings file").withRequiredArg().required();

  @Override
  public String summary() {
    return "run a host until the process is stopped";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream output) throws InterruptedException {
    Arguments.atMost(options, 0);
    Settings settings = SettingsLoader.load(Path.of(options.valueOf(file)));
    start(settings);
    Thread.currentThread().join();
    return ExitCode.OK;
  }

  /** Starts a host in this process. */
  static void start(Settings settings) {
    long incarnation = InstantSource.system().millis();
    HostIdentity identity = new HostIdentity(HostId.of(settings.host().name()), incarnation);
    try {
      new ServerApplication(settings, identity).run("server");
    } catch (Exception e) {
      throw new IllegalStateException("the host failed to start", e);
    }
  }
}
