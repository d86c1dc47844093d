package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a key by the SHA-256 digest of its secret, in lower-case hexadecimal.
 *
 * @param value the digest; not empty
 */
public record KeyDigest(@JsonValue String value) {
  /** Validates the components. */
  public KeyDigest {
    checkNotNull(value, "value");
    checkArgument(!value.isEmpty(), "key digest must not be empty");
  }

  /** Returns the identifier with the given text. */
  @JsonCreator
  public static KeyDigest of(String value) {
    return new KeyDigest(value);
  }

  @Override
  public String toString() {
    return value;
  }
}
