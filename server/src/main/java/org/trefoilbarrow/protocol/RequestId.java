package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one request of a caller.
 *
 * @param value the identifier; not empty
 */
public record RequestId(@JsonValue String value) {
  /** Validates the components. */
  public RequestId {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "request identifier must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
