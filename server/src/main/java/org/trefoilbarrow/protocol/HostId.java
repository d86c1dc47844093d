package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a host by the name in its settings.
 *
 * @param value the identifier; not empty
 */
public record HostId(@JsonValue String value) {
  /** Validates the components. */
  public HostId {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "host identifier must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static HostId of(String value) {
    return new HostId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
