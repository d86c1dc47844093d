/**
 * What a host knows of the fleet that it serves: the operators' configuration and the backend
 * servers.
 *
 * <p>Start at {@link org.trefoilbarrow.state.fleet.FleetView}.
 */
package org.trefoilbarrow.state.fleet;
