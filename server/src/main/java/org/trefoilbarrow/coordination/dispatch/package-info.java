/**
 * Decides for all hosts together which work waits, which is refused, and at which backend server
 * the rest is placed.
 *
 * <p>Start at {@link org.trefoilbarrow.coordination.dispatch.Dispatcher}. One host dispatches for
 * all; a host that cannot reach it dispatches for itself with its part of each limit. Times are
 * readings of the host's own monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.dispatch;
