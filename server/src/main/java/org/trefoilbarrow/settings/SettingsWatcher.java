package org.trefoilbarrow.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Consumer;

/** Watches a settings file and reloads it after a change or on request. Thread-safe. */
public final class SettingsWatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval of reading the file; changed settings must take effect within seconds. */
  private static final Duration READ_INTERVAL = Duration.ofSeconds(1);

  private final Path file;
  private final Consumer<FleetHostSettings> onChange;
  private String currentText;

  /** Creates a watcher of a file whose current settings are in use. */
  public SettingsWatcher(Path file, Consumer<FleetHostSettings> onChange) {
    this.file = checkNotNull(file, "file");
    this.onChange = checkNotNull(onChange, "onChange");
    this.currentText = SettingsLoader.readText(file);
  }

  /** Reads the file and passes its settings to the listener if they are valid. */
  public synchronized void reload() {
    try {
      currentText = SettingsLoader.readText(file);
      onChange.accept(FleetHostSettingsLoader.parse(file.toString(), currentText));
    } catch (RuntimeException e) {
      // A file that is being written, or has errors, leaves the current settings in force.
      logger.atWarning().log(
          "settings: file \"%s\" was not applied; the current settings stay in force: %s",
          file, e.getMessage());
    }
  }

  /** Watches the file until the thread is interrupted. */
  public void watch() throws InterruptedException {
    while (true) {
      Thread.sleep(READ_INTERVAL.toMillis());
      if (hasChanged()) {
        reload();
      }
    }
  }

  private synchronized boolean hasChanged() {
    try {
      return !SettingsLoader.readText(file).equals(currentText);
    } catch (RuntimeException e) {
      logger.atWarning().log(
          "settings: file \"%s\" is not readable; the current settings stay in force: %s",
          file, e.getMessage());
      return false;
    }
  }
}
