package org.trefoilbarrow.coordination.backend;

import org.trefoilbarrow.protocol.RouteTarget;

/**
 * Online requests that wait here for more permits than this host has.
 *
 * @param target what the backend servers must serve
 * @param wanted the number of permits
 */
public record PermitShortage(RouteTarget target, int wanted) {}
