/**
 * Decides which items of request jobs still have to run, at which host, and which results become
 * visible.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.jobs.RequestJobProgress}, then {@link
 * org.trefoilbarrow.coordination.jobs.JobOwner}.
 */
package org.trefoilbarrow.coordination.jobs;
