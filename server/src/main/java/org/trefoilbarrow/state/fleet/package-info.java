/**
 * A host's cached view of the fleet: the operators' configuration and the backend servers.
 *
 * <p>Read first, in this order: {@link org.trefoilbarrow.state.fleet.FleetView}, {@link
 * org.trefoilbarrow.state.fleet.Catalog}, {@link org.trefoilbarrow.state.fleet.Route}.
 */
package org.trefoilbarrow.state.fleet;
