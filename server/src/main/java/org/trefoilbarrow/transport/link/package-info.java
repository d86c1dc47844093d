/**
 * Connections between the hosts that serve callers and the hosts that dispatch and run jobs: Thrift
 * messages in frames, both ways, without waiting.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.link.PlacementClient}, which gets places for the
 * work of a host. All classes are used by the thread of the event loop alone.
 */
package org.trefoilbarrow.transport.link;
