/**
 * Keeps work from backend servers that have stated in a response that they are leaving.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.leaving.LeavingServers}. Each host keeps
 * what it received itself; the dispatching host also keeps what other hosts report. Times are
 * readings of the host's monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.leaving;
