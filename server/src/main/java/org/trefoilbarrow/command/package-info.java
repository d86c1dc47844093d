/**
 * The command line, and the assembly of a host from its components.
 *
 * <p>Read in this order: {@link org.trefoilbarrow.command.Main}, {@link
 * org.trefoilbarrow.command.HostModule}, which creates the components of a host, {@link
 * org.trefoilbarrow.command.HostLifecycle}, which starts and stops them, and {@link
 * org.trefoilbarrow.command.FleetHost}, the host that runs on the operators' platform.
 */
package org.trefoilbarrow.command;
