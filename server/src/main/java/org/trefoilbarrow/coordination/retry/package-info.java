/**
 * Decides whether a failed request may be retried.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.retry.RetryBudget}.
 */
package org.trefoilbarrow.coordination.retry;
