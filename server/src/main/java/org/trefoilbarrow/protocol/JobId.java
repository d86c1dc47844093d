package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a batch job.
 *
 * @param value the identifier; not empty
 */
public record JobId(@JsonValue String value) {
  /** Validates the components. */
  public JobId {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "job identifier must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static JobId of(String value) {
    return new JobId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
