/**
 * The operators' library: the configuration of a fleet as immutable Java values.
 *
 * <p>Read first, in this order: {@link org.trefoilbarrow.operators.FleetConfiguration}, {@link
 * org.trefoilbarrow.operators.EntitySpec}. Build a configuration with the builder, print it with
 * {@link org.trefoilbarrow.operators.FleetConfiguration#toJson()}, and pass the text to {@code
 * trefoilbarrow apply}.
 */
package org.trefoilbarrow.operators;
