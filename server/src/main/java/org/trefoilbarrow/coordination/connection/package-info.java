/**
 * Decides how long connections of callers are kept.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.connection.IdleTimeout}. Times are readings
 * of the host's monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.connection;
