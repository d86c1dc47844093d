package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a backend server.
 *
 * @param value the identifier; not empty
 */
public record BackendServerId(@JsonValue String value) {
  /** Validates the components. */
  public BackendServerId {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "backend server identifier must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static BackendServerId of(String value) {
    return new BackendServerId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
