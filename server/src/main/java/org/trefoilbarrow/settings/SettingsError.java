package org.trefoilbarrow.settings;

/**
 * An error in a settings file.
 *
 * @param source the file
 * @param line the line, starting at 1, or 0 if it is unknown
 * @param path the JSON pointer to the value
 * @param message what is invalid and which values are valid
 */
public record SettingsError(String source, int line, String path, String message) {
  @Override
  public String toString() {
    String location = line > 0 ? source + ":" + line : source;
    return location + ": " + (path.isEmpty() ? "" : path + ": ") + message;
  }
}
