package org.trefoilbarrow.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/**
 * Reads the settings of a {@link FleetHostSettings} host: JSON with comments, all mistakes reported
 * at once.
 */
public final class FleetHostSettingsLoader {
  private static final int HIGHEST_PORT = 65_535;

  private FleetHostSettingsLoader() {}

  /**
   * Returns the settings that a file states.
   *
   * @throws SettingsException if the file cannot be read or has mistakes
   */
  public static FleetHostSettings load(Path file) {
    return parse(file.toString(), SettingsLoader.readText(file));
  }

  /**
   * Returns the settings that a text states.
   *
   * @param source the name of the text in messages
   * @throws SettingsException if the text has mistakes
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
    ImmutableList<SettingsError> errors = errors(source, settings);
    if (!errors.isEmpty()) {
      throw new SettingsException(errors);
    }
    return settings;
  }

  private static ImmutableList<SettingsError> errors(String source, FleetHostSettings settings) {
    ImmutableList.Builder<SettingsError> errors = ImmutableList.builder();
    text(errors, source, "/name", settings.name());
    text(errors, source, "/failureDomain", settings.failureDomain());
    text(errors, source, "/address", settings.address());
    address(errors, source, "/platform", settings.platform());
    if (settings.servesCallers()) {
      address(errors, source, "/callerAddress", settings.callerAddress());
      address(errors, source, "/readinessAddress", settings.readinessAddress());
    }
    port(errors, source, "/linkPort", settings.linkPort(), 1);
    port(errors, source, "/metricsPort", settings.metricsPort(), 0);
    positive(errors, source, "/platformCallsPerSecond", settings.platformCallsPerSecond());
    positive(errors, source, "/shutdownSeconds", settings.shutdownSeconds());
    return errors.build();
  }

  private static void text(
      ImmutableList.Builder<SettingsError> errors,
      String source,
      String path,
      @Nullable String value) {
    if (Strings.isNullOrEmpty(value)) {
      errors.add(new SettingsError(source, 0, path, "is missing"));
    }
  }

  private static void address(
      ImmutableList.Builder<SettingsError> errors,
      String source,
      String path,
      @Nullable String value) {
    boolean stated = !Strings.isNullOrEmpty(value);
    try {
      if (stated && HostAndPort.fromString(value).hasPort()) {
        return;
      }
    } catch (IllegalArgumentException e) {
      // Reported below, like an address without a port.
      stated = true;
    }
    errors.add(new SettingsError(source, 0, path, stated ? "must be IP:port" : "is missing"));
  }

  private static void port(
      ImmutableList.Builder<SettingsError> errors,
      String source,
      String path,
      int value,
      int lowest) {
    if (value < lowest || value > HIGHEST_PORT) {
      errors.add(
          new SettingsError(
              source,
              0,
              path,
              String.format("must be from %d to %d: %d", lowest, HIGHEST_PORT, value)));
    }
  }

  private static void positive(
      ImmutableList.Builder<SettingsError> errors, String source, String path, double value) {
    if (!(value > 0)) {
      errors.add(new SettingsError(source, 0, path, "must be positive: " + value));
    }
  }
}
