/**
 * Non-blocking connections between the hosts that serve callers and the hosts that dispatch and run
 * jobs. Both sides send Thrift messages in length-prefixed frames.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.link.PlacementClient}, which requests slots for
 * the work of a host, then read {@link org.trefoilbarrow.transport.link.DispatchServer}, which
 * serves such requests of other hosts, and {@link org.trefoilbarrow.transport.link.Link}. {@link
 * org.trefoilbarrow.transport.link.TermClaimer} takes over dispatch when the election decides so.
 * All classes are used only on the event loop's thread.
 */
package org.trefoilbarrow.transport.link;
