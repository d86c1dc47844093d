/**
 * The command line, and the assembly of a host from its components.
 *
 * <p>Read in this order: {@link org.trefoilbarrow.command.Main}, {@link
 * org.trefoilbarrow.command.HostModule}, which creates the components of a host together with
 * {@link org.trefoilbarrow.command.BackendModule} and {@link
 * org.trefoilbarrow.command.BatchModule}, {@link org.trefoilbarrow.command.HostLifecycle}, which
 * starts and stops them, and {@link org.trefoilbarrow.command.FleetHost}, the host that runs on the
 * operators' platform.
 */
package org.trefoilbarrow.command;
