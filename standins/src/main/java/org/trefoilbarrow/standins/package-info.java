/**
 * Small stand-ins for the systems with which trefoilbarrow communicates: the platform, a model
 * engine, a plain service and the network.
 *
 * <p>Read first, in this order: {@link org.trefoilbarrow.standins.StandInMain}, which runs one of
 * them as a process; {@link org.trefoilbarrow.standins.PlatformStandIn}; {@link
 * org.trefoilbarrow.standins.EngineStandIn}.
 */
package org.trefoilbarrow.standins;
