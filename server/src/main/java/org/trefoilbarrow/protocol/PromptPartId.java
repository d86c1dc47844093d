package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a part of a prompt that several requests may share.
 *
 * @param value the identifier; not empty
 */
public record PromptPartId(@JsonValue String value) {
  /** Validates the components. */
  public PromptPartId {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "prompt part identifier must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static PromptPartId of(String value) {
    return new PromptPartId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
