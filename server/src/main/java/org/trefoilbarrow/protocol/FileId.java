package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an input or output file.
 *
 * @param value the identifier; not empty
 */
public record FileId(@JsonValue String value) {
  /** Validates the components. */
  public FileId {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "file identifier must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static FileId of(String value) {
    return new FileId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
