package org.trefoilbarrow.state.fleet;

import org.trefoilbarrow.protocol.OrganisationId;

/**
 * An organisation of the configuration.
 *
 * @param id the identifier
 * @param priority the priority; 0 is the highest. It takes precedence over a route's priority
 * @param ratePerSecond the rate limit over all hosts, in requests per second; 0 for no limit
 * @param burst the number of requests beyond the rate that may arrive at once
 */
public record Organisation(OrganisationId id, int priority, double ratePerSecond, double burst) {}
