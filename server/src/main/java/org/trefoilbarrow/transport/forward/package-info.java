/**
 * Forwards requests of callers to backend servers, with unchanged bodies and non-blocking I/O.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.forward.Ingress}, which receives requests, then
 * read {@link org.trefoilbarrow.transport.forward.ForwardedCall}, which forwards one request as
 * {@link org.trefoilbarrow.coordination.failover.Failover} decides, and {@link
 * org.trefoilbarrow.transport.forward.BackendConnections}. Classes are used only on the event
 * loop's thread where they don't say otherwise.
 */
package org.trefoilbarrow.transport.forward;
