package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a model or a plain service that backend servers serve.
 *
 * @param value the identifier; not empty
 */
public record RouteTarget(@JsonValue String value) {
  /** Validates the components. */
  public RouteTarget {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "route target must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static RouteTarget of(String value) {
    return new RouteTarget(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
