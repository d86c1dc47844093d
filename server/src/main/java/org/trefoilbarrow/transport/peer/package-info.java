/**
 * Messages between hosts over Thrift: heartbeats, delegations, loans and configuration for hosts
 * that have lost the platform.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.peer.TokenService}, which serves callers, and
 * {@link org.trefoilbarrow.transport.peer.PeerServiceHandler}, which answers other hosts.
 */
package org.trefoilbarrow.transport.peer;
