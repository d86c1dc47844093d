package org.trefoilbarrow.settings;

/**
 * The processing of batch jobs.
 *
 * @param concurrentItems the maximum number of items in progress
 * @param concurrentSegments the maximum number of claimed segments
 * @param segmentLeaseMillis how long the claim of an unchanged segment is valid, in milliseconds
 * @param checkpointEveryMillis how long results are collected before a commit, in milliseconds
 * @param maxPartBytes the size of collected results that triggers a commit, in bytes
 * @param maxBufferedBytes the size of uncommitted results at which a segment is paused, in bytes
 * @param retryAfterMillis the retry delay of an item after a failed attempt, in milliseconds
 * @param itemTimeoutMillis the timeout of one attempt of an item, in milliseconds
 * @param lookAgainMillis the delay before a job without claimable segments is checked again, in
 *     milliseconds
 * @param maxItemsPerJob the maximum number of items in a job; a batch rule may lower it
 */
public record BatchSettings(
    int concurrentItems,
    int concurrentSegments,
    int segmentLeaseMillis,
    int checkpointEveryMillis,
    int maxPartBytes,
    int maxBufferedBytes,
    int retryAfterMillis,
    int itemTimeoutMillis,
    int lookAgainMillis,
    int maxItemsPerJob) {}
