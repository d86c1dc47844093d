/**
 * Decides for all hosts which work waits, which is refused, and at which backend server the rest is
 * placed.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.dispatch.Dispatcher}, then {@link
 * org.trefoilbarrow.coordination.dispatch.Demand} and {@link
 * org.trefoilbarrow.coordination.dispatch.Decision}. One host, the dispatching host, places the
 * work of all hosts; a host that can't reach it places its own online work within its part of each
 * limit ({@link org.trefoilbarrow.coordination.dispatch.PlacementScope}). Times are readings of the
 * host's monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.dispatch;
