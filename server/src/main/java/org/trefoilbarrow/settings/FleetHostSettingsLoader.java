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
          ImmutableList.of(new SettingsMistake(source, line, "", e.getOriginalMessage())));
    }
    ImmutableList<SettingsMistake> mistakes = mistakes(source, settings);
    if (!mistakes.isEmpty()) {
      throw new SettingsException(mistakes);
    }
    return settings;
  }

  private static ImmutableList<SettingsMistake> mistakes(
      String source, FleetHostSettings settings) {
    ImmutableList.Builder<SettingsMistake> mistakes = ImmutableList.builder();
    text(mistakes, source, "/name", settings.name());
    text(mistakes, source, "/failureDomain", settings.failureDomain());
    text(mistakes, source, "/address", settings.address());
    address(mistakes, source, "/platform", settings.platform());
    if (settings.servesCallers()) {
      address(mistakes, source, "/callerAddress", settings.callerAddress());
      address(mistakes, source, "/readinessAddress", settings.readinessAddress());
    }
    port(mistakes, source, "/linkPort", settings.linkPort(), 1);
    port(mistakes, source, "/metricsPort", settings.metricsPort(), 0);
    positive(mistakes, source, "/platformCallsPerSecond", settings.platformCallsPerSecond());
    positive(mistakes, source, "/shutdownSeconds", settings.shutdownSeconds());
    return mistakes.build();
  }

  private static void text(
      ImmutableList.Builder<SettingsMistake> mistakes,
      String source,
      String path,
      @Nullable String value) {
    if (Strings.isNullOrEmpty(value)) {
      mistakes.add(new SettingsMistake(source, 0, path, "is missing"));
    }
  }

  private static void address(
      ImmutableList.Builder<SettingsMistake> mistakes,
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
    mistakes.add(new SettingsMistake(source, 0, path, stated ? "must be IP:port" : "is missing"));
  }

  private static void port(
      ImmutableList.Builder<SettingsMistake> mistakes,
      String source,
      String path,
      int value,
      int lowest) {
    if (value < lowest || value > HIGHEST_PORT) {
      mistakes.add(
          new SettingsMistake(
              source,
              0,
              path,
              String.format("must be from %d to %d: %d", lowest, HIGHEST_PORT, value)));
    }
  }

  private static void positive(
      ImmutableList.Builder<SettingsMistake> mistakes, String source, String path, double value) {
    if (!(value > 0)) {
      mistakes.add(new SettingsMistake(source, 0, path, "must be positive: " + value));
    }
  }
}
