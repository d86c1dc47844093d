/**
 * Files and batch jobs: their storage in the platform, and the processing of items.
 *
 * <p>Read first {@link org.trefoilbarrow.transport.batch.JobStore}, which submits jobs and returns
 * results, then {@link org.trefoilbarrow.transport.batch.BatchRunner}, which runs jobs, and {@link
 * org.trefoilbarrow.transport.batch.SegmentStore}.
 */
package org.trefoilbarrow.transport.batch;
