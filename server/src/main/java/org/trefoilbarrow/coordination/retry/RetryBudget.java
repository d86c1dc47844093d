package org.trefoilbarrow.coordination.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits retries to a fraction of first attempts, so that retries never multiply an overload.
 *
 * <p>Each first attempt deposits a fraction of a retry; each retry withdraws a whole one.
 * Thread-safe.
 */
public final class RetryBudget {
  private final double retriesForEachRequest;
  private final double maxSaved;
  private double saved;

  /**
   * Creates a full budget.
   *
   * @param retriesForEachRequest the fraction of a retry that one first attempt deposits, such as
   *     0.1
   * @param maxSaved the most retries that can be saved up
   */
  public RetryBudget(double retriesForEachRequest, double maxSaved) {
    checkArgument(
        retriesForEachRequest >= 0,
        "retriesForEachRequest must not be negative: %s",
        retriesForEachRequest);
    checkArgument(maxSaved >= 1, "maxSaved must be at least 1: %s", maxSaved);
    this.retriesForEachRequest = retriesForEachRequest;
    this.maxSaved = maxSaved;
    this.saved = maxSaved;
  }

  /** Records a first attempt. */
  public synchronized void onFirstAttempt() {
    saved = Math.min(maxSaved, saved + retriesForEachRequest);
  }

  /** Withdraws a retry from the budget; returns false if there is none. */
  public synchronized boolean tryRetry() {
    if (saved < 1) {
      return false;
    }
    saved -= 1;
    return true;
  }
}
