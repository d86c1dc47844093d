package org.trefoilbarrow.coordination.jobs;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The pause before an item is sent again. It grows while backend servers reject the item, as they
 * do with one that none of them has memory for, so that such items cost little.
 */
public final class RetryPause {
  private static final Duration FIRST = Duration.ofMillis(200);
  private static final Duration LONGEST = Duration.ofMillis(3200);

  /** Rejections in a row that are usual when servers are full for a moment. */
  private static final int USUAL_REJECTIONS = 3;

  private RetryPause() {}

  /** Returns the pause after the given number of rejections in a row. */
  public static Duration after(int rejections) {
    checkArgument(rejections >= 0, "rejections must not be negative: %s", rejections);
    Duration pause = FIRST;
    for (int count = USUAL_REJECTIONS; count < rejections; count++) {
      pause = pause.multipliedBy(2);
      if (pause.compareTo(LONGEST) >= 0) {
        return LONGEST;
      }
    }
    return pause;
  }
}
