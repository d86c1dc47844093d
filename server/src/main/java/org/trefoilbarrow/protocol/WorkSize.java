package org.trefoilbarrow.protocol;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The size of a request to a model engine.
 *
 * @param promptTokens the number of tokens of the prompt; 0 if unknown
 * @param outputTokens the expected number of tokens of the response; 0 if unknown
 */
public record WorkSize(int promptTokens, int outputTokens) {
  /** The size of a request that states none. */
  public static final WorkSize UNKNOWN = new WorkSize(0, 0);

  /** Checks the components. */
  public WorkSize {
    checkArgument(promptTokens >= 0, "promptTokens must not be negative: %s", promptTokens);
    checkArgument(outputTokens >= 0, "outputTokens must not be negative: %s", outputTokens);
  }

  /** Returns whether the size is known. */
  public boolean isKnown() {
    return promptTokens > 0 || outputTokens > 0;
  }
}
