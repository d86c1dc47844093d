package org.trefoilbarrow.settings;

/**
 * A mistake in a settings file.
 *
 * @param source the file
 * @param line the line, from 1, or 0 when it is not known
 * @param path the JSON pointer to the value
 * @param message what is wrong and what would be valid
 */
public record SettingsError(String source, int line, String path, String message) {
  @Override
  public String toString() {
    String place = line > 0 ? source + ":" + line : source;
    return place + ": " + (path.isEmpty() ? "" : path + ": ") + message;
  }
}
