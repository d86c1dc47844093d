package org.trefoilbarrow.state.fleet;

/**
 * A service of the configuration.
 *
 * @param name the service's name
 * @param maxConnections the connections that one backend server accepts from all hosts together
 * @param coldMillis how long a backend server is cold after its start
 * @param coldRatePerSecond the requests a second that a cold backend server tolerates; 0 for no
 *     bound
 */
public record Service(String name, int maxConnections, long coldMillis, double coldRatePerSecond) {}
