/**
 * Messages between hosts over Thrift: heartbeats, delegations, loans, and configuration for hosts
 * that are not connected to the platform.
 *
 * <p>Read first {@link org.trefoilbarrow.transport.peer.TokenService}, which acquires tokens for
 * callers through {@link org.trefoilbarrow.transport.peer.LoanRequester} and {@link
 * org.trefoilbarrow.transport.peer.DelegationRequester}, then {@link
 * org.trefoilbarrow.transport.peer.PeerServiceHandler}, which answers other hosts, and {@link
 * org.trefoilbarrow.transport.peer.PermitBorrower}.
 */
package org.trefoilbarrow.transport.peer;
