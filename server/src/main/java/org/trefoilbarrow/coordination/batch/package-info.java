/**
 * Batch jobs: which segment a host claims, which item runs next, and what is committed when.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.batch.SegmentProgress}, one claimed segment,
 * then {@link org.trefoilbarrow.coordination.batch.SegmentClaims}, which decides about claims.
 */
package org.trefoilbarrow.coordination.batch;
