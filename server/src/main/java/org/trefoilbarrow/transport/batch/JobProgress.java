package org.trefoilbarrow.transport.batch;

/**
 * The progress of a job.
 *
 * @param total the number of items
 * @param completed the number of items with a response
 * @param failed the number of items that failed
 */
public record JobProgress(int total, int completed, int failed) {}
