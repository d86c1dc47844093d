/**
 * Decides which items of batch jobs are still to be run and which results become visible.
 *
 * <p>Start at {@link org.trefoilbarrow.coordination.jobs.RequestJobProgress}.
 */
package org.trefoilbarrow.coordination.jobs;
