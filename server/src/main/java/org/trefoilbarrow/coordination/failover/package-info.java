/**
 * Decides when a request that is in progress gets another backend server.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.failover.Failover}. Times are readings of
 * the host's monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.failover;
