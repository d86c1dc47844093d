/**
 * Agrees on the one host that dispatches for all others.
 *
 * <p>Read first: {@link org.trefoilbarrow.coordination.election.DispatchElection}, then {@link
 * org.trefoilbarrow.coordination.election.DispatchTerm} and {@link
 * org.trefoilbarrow.coordination.election.TermReport}. The platform's record of the newest term
 * decides who holds it; heartbeats tell all hosts of it and show whether the holder still lives.
 * Times are readings of the host's monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.election;
