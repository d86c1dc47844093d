package org.trefoilbarrow.coordination.backend;

import org.trefoilbarrow.protocol.RouteTarget;

/**
 * The online requests of one target that wait at this host for lack of permits.
 *
 * @param target what the backend servers must serve
 * @param wanted the number of permits that are missing
 */
public record PermitShortage(RouteTarget target, int wanted) {}
