/**
 * Forwards requests of callers to backend servers, unchanged, without waiting threads.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.forward.Ingress}, which takes requests, and {@link
 * org.trefoilbarrow.transport.forward.ForwardedCall}, which leads one request to its end. All
 * classes are used by the thread of the event loop alone.
 */
package org.trefoilbarrow.transport.forward;
