package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a failure domain.
 *
 * @param value the identifier; not empty
 */
public record FailureDomainId(@JsonValue String value) {
  /** Validates the components. */
  public FailureDomainId {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "failure domain identifier must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static FailureDomainId of(String value) {
    return new FailureDomainId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
