/**
 * Decides which prompt parts end the backend servers that begin to answer them, and keeps requests
 * with such a part from all backend servers for a while.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.quarantine.PartQuarantine}. The dispatching
 * host decides, from the ends of backend servers that hosts report; all hosts know the result.
 * Times are readings of the host's monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.quarantine;
