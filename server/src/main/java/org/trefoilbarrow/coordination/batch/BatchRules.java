package org.trefoilbarrow.coordination.batch;

import java.time.Duration;

/**
 * The times and sizes that control batch work.
 *
 * @param segmentLease how long a segment's record may stay unchanged before another host may claim
 *     it; all hosts must use the same
 * @param checkpointEvery how long results are buffered before they are committed
 * @param maxPartBytes the size of buffered results at which they are committed, in bytes
 * @param maxBufferedBytes the size of uncommitted results at which a segment stops starting items,
 *     in bytes
 * @param retryAfter the base of the retry delay of an item, multiplied by its failed attempts
 */
public record BatchRules(
    Duration segmentLease,
    Duration checkpointEvery,
    int maxPartBytes,
    int maxBufferedBytes,
    Duration retryAfter) {
  /** Checkpoints during one lease, so that one lost checkpoint does not lose the claim. */
  private static final int CHECKPOINTS_PER_LEASE = 3;

  /** Returns the longest time between writes of a holder, even if it has no results. */
  Duration keepAliveEvery() {
    return segmentLease.dividedBy(CHECKPOINTS_PER_LEASE);
  }
}
