/**
 * Decides what a host that is stopped still does.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.drain.DrainSchedule}. Times are readings of
 * the host's monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.drain;
