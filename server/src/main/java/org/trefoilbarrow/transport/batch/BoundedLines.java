package org.trefoilbarrow.transport.batch;

import java.io.IOException;
import java.io.Reader;
import org.jspecify.annotations.Nullable;

/** Reads lines of limited length, so that a line without an end cannot exhaust memory. */
final class BoundedLines {
  private final Reader reader;
  private final int maxLength;
  private long lineNumber;

  BoundedLines(Reader reader, int maxLength) {
    this.reader = reader;
    this.maxLength = maxLength;
  }

  /** Returns the next line, or null at the end of the input. */
  @Nullable String next() throws IOException {
    lineNumber++;
    StringBuilder line = new StringBuilder();
    while (true) {
      int character = reader.read();
      if (character < 0) {
        return line.length() == 0 ? null : line.toString();
      }
      if (character == '\n') {
        return line.toString();
      }
      if (line.length() == maxLength) {
        throw ItemLine.invalidLine(lineNumber, "is longer than " + maxLength + " characters");
      }
      line.append((char) character);
    }
  }
}
