package org.trefoilbarrow.state.fleet;

import org.trefoilbarrow.protocol.OrganisationId;

/**
 * An organisation of the configuration.
 *
 * @param id the identifier
 * @param priority the rank, 0 is the highest; it goes before the rank of a route
 * @param ratePerSecond the requests a second over all hosts; 0 for no limit
 * @param burst the requests beyond the rate that may come at once
 */
public record Organisation(OrganisationId id, int priority, double ratePerSecond, double burst) {}
