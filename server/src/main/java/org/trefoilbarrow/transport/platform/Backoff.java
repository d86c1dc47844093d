package org.trefoilbarrow.transport.platform;

import java.time.Duration;

/** Pauses between calls to a platform that does not answer. */
final class Backoff {
  private Backoff() {}

  /** Returns the pause that follows on the given one: twice as long, up to the longest. */
  static Duration next(Duration pause, Duration longest) {
    Duration doubled = pause.multipliedBy(2);
    return doubled.compareTo(longest) < 0 ? doubled : longest;
  }
}
