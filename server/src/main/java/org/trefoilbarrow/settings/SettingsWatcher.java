package org.trefoilbarrow.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Consumer;

/** Notices that a settings file has changed, with or without a signal. Thread-safe. */
public final class SettingsWatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How often the file is looked at: settings must hold within seconds. */
  private static final Duration LOOK_EVERY = Duration.ofSeconds(1);

  private final Path file;
  private final Consumer<FleetHostSettings> onChange;
  private String known;

  /** Creates a watch that knows the present settings. */
  public SettingsWatcher(Path file, Consumer<FleetHostSettings> onChange) {
    this.file = checkNotNull(file, "file");
    this.onChange = checkNotNull(onChange, "onChange");
    this.known = SettingsLoader.readText(file);
  }

  /** Reads the file, and hands its settings on if they are sound. */
  public synchronized void reload() {
    try {
      known = SettingsLoader.readText(file);
      onChange.accept(FleetHostSettingsLoader.parse(file.toString(), known));
    } catch (RuntimeException e) {
      // A file that is being written, or has mistakes, leaves the present settings in force.
      logger.atWarning().log("settings: not taken: %s", e.getMessage());
    }
  }

  /** Looks at the file until the thread is interrupted. */
  public void watch() throws InterruptedException {
    while (true) {
      Thread.sleep(LOOK_EVERY.toMillis());
      if (hasChanged()) {
        reload();
      }
    }
  }

  private synchronized boolean hasChanged() {
    try {
      return !SettingsLoader.readText(file).equals(known);
    } catch (RuntimeException e) {
      logger.atWarning().log("settings: not readable: %s", e.getMessage());
      return false;
    }
  }
}
