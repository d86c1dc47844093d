package org.trefoilbarrow.state;

/**
 * The outcome of a conditional write.
 *
 * @param result whether the write took effect
 * @param version the version that was written; 0 unless the write took effect
 */
public record WriteOutcome(Result result, long version) {

  /** The possible results. */
  public enum Result {
    /** The write took effect. */
    APPLIED,
    /** The object has another version; the write had no effect. */
    CONFLICT,
    /**
     * The write may have taken effect: either it may have been replaced since, or the platform did
     * not respond.
     */
    UNKNOWN,
    /** Every attempt failed before it could have an effect. */
    NOT_SENT,
    /** The platform refused the object as too large, as it will refuse each repetition. */
    TOO_LARGE
  }

  /** Returns the outcome of a write that took effect. */
  static WriteOutcome applied(long version) {
    return new WriteOutcome(Result.APPLIED, version);
  }

  /** Returns an outcome without a version. */
  static WriteOutcome of(Result result) {
    return new WriteOutcome(result, 0);
  }

  /** Returns whether the write took effect. */
  public boolean isApplied() {
    return result == Result.APPLIED;
  }
}
