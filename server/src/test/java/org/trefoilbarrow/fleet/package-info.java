/**
 * Runs hosts as processes of their own against stand-ins, for tests.
 *
 * <p>Read in this order: {@link org.trefoilbarrow.fleet.Fleet}, {@link
 * org.trefoilbarrow.fleet.HostProcess}, {@link org.trefoilbarrow.fleet.ApiClient}.
 */
package org.trefoilbarrow.fleet;
