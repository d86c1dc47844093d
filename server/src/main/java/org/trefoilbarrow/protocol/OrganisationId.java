package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an organisation.
 *
 * @param value the identifier; not empty
 */
public record OrganisationId(@JsonValue String value) {
  /** Validates the components. */
  public OrganisationId {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "organisation identifier must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static OrganisationId of(String value) {
    return new OrganisationId(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
