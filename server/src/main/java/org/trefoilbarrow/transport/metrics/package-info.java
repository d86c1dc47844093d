/**
 * Counters and histograms of a host on an operators' platform, and the address that serves them.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.metrics.FleetMetrics} for what is counted and at
 * {@link org.trefoilbarrow.transport.metrics.MetricsEndpoint} for how it is read.
 */
package org.trefoilbarrow.transport.metrics;
