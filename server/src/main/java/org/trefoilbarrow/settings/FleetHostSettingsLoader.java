package org.trefoilbarrow.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/**
 * Reads {@link FleetHostSettings} from JSON with comments, and reports all errors of a file at
 * once.
 */
public final class FleetHostSettingsLoader {
  private static final int MAX_PORT = 65_535;

  /** The smallest limit that leaves room for the records of hosts, and for results. */
  private static final int MIN_OBJECT_BYTES = 16_384;

  private FleetHostSettingsLoader() {}

  /**
   * Reads the settings from a file.
   *
   * @throws SettingsException if the file does not exist or has errors
   */
  public static FleetHostSettings load(Path file) {
    return parse(file.toString(), SettingsLoader.readText(file));
  }

  /**
   * Reads the settings from a text.
   *
   * @param source the name of the text in error messages
   * @throws SettingsException if the text has errors
   */
  public static FleetHostSettings parse(String source, String text) {
    FleetHostSettings settings;
    try {
      settings = SettingsLoader.MAPPER.readValue(text, FleetHostSettings.class);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      int line = location == null ? 0 : location.getLineNr();
      throw new SettingsException(
          ImmutableList.of(new SettingsError(source, line, "", e.getOriginalMessage())));
    }
    ImmutableList<SettingsError> errors = findErrors(source, settings);
    if (!errors.isEmpty()) {
      throw new SettingsException(errors);
    }
    return settings;
  }

  private static ImmutableList<SettingsError> findErrors(
      String source, FleetHostSettings settings) {
    ImmutableList.Builder<SettingsError> errors = ImmutableList.builder();
    checkPresent(errors, source, "/name", settings.name());
    checkPresent(errors, source, "/failureDomain", settings.failureDomain());
    checkPresent(errors, source, "/address", settings.address());
    checkAddress(errors, source, "/platform", settings.platform());
    if (settings.servesCallers()) {
      checkAddress(errors, source, "/callerAddress", settings.callerAddress());
      checkAddress(errors, source, "/readinessAddress", settings.readinessAddress());
    }
    checkPort(errors, source, "/linkPort", settings.linkPort(), 1);
    checkPort(errors, source, "/metricsPort", settings.metricsPort(), 0);
    checkPositive(errors, source, "/platformCallsPerSecond", settings.platformCallsPerSecond());
    checkPositive(errors, source, "/peerWatchHosts", settings.peerWatchHosts());
    checkPositive(errors, source, "/shutdownSeconds", settings.shutdownSeconds());
    if (settings.maxObjectBytes() < MIN_OBJECT_BYTES) {
      errors.add(
          new SettingsError(
              source,
              0,
              "/maxObjectBytes",
              String.format(
                  "must be at least %d: %d", MIN_OBJECT_BYTES, settings.maxObjectBytes())));
    }
    return errors.build();
  }

  private static void checkPresent(
      ImmutableList.Builder<SettingsError> errors,
      String source,
      String path,
      @Nullable String value) {
    if (Strings.isNullOrEmpty(value)) {
      errors.add(new SettingsError(source, 0, path, "is missing"));
    }
  }

  private static void checkAddress(
      ImmutableList.Builder<SettingsError> errors,
      String source,
      String path,
      @Nullable String value) {
    boolean isPresent = !Strings.isNullOrEmpty(value);
    try {
      if (isPresent && HostAndPort.fromString(value).hasPort()) {
        return;
      }
    } catch (IllegalArgumentException e) {
      // Reported below like an address without a port.
      isPresent = true;
    }
    errors.add(new SettingsError(source, 0, path, isPresent ? "must be IP:port" : "is missing"));
  }

  private static void checkPort(
      ImmutableList.Builder<SettingsError> errors, String source, String path, int value, int min) {
    if (value < min || value > MAX_PORT) {
      errors.add(
          new SettingsError(
              source, 0, path, String.format("must be from %d to %d: %d", min, MAX_PORT, value)));
    }
  }

  private static void checkPositive(
      ImmutableList.Builder<SettingsError> errors, String source, String path, double value) {
    if (!(value > 0)) {
      errors.add(new SettingsError(source, 0, path, "must be positive: " + value));
    }
  }
}
