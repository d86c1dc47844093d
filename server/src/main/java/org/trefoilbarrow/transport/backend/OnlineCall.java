package org.trefoilbarrow.transport.backend;

import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * An online request that was admitted, with what is needed to schedule it.
 *
 * @param route the name of the route
 * @param spec the configuration of the route
 * @param request the request to a backend server
 * @param organisation the organisation of the caller
 * @param weight the organisation's weight in fair scheduling
 * @param maxQueued the largest number of requests of the organisation that may wait
 * @param affinity requests with the same value prefer the same backend server
 */
public record OnlineCall(
    String route,
    RouteSpec spec,
    BackendRequest request,
    OrganisationId organisation,
    int weight,
    int maxQueued,
    String affinity) {}
