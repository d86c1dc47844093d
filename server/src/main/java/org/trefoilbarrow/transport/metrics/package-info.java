/**
 * Counters and histograms of a host on an operators' platform, and the endpoint that serves them.
 *
 * <p>Start at {@link org.trefoilbarrow.transport.metrics.FleetMetrics}, which defines the metrics,
 * then read {@link org.trefoilbarrow.transport.metrics.MetricsEndpoint}.
 */
package org.trefoilbarrow.transport.metrics;
