package org.trefoilbarrow.state.fleet;

/**
 * A service of the configuration.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections to one backend server from all hosts
 *     together
 * @param coldMillis how long a backend server is cold after its start, in milliseconds
 * @param coldRatePerSecond the maximum rate of requests to a cold backend server, in requests per
 *     second; 0 for no limit
 */
public record Service(String name, int maxConnections, long coldMillis, double coldRatePerSecond) {}
