package org.trefoilbarrow.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The keys of the operators.
 *
 * @param keyDigests the SHA-256 digests of the operators' keys, in lower-case hexadecimal
 */
public record OperatorsSettings(List<String> keyDigests) {
  /** Copies the mutable components. */
  public OperatorsSettings {
    keyDigests = ImmutableList.copyOf(keyDigests);
  }
}
