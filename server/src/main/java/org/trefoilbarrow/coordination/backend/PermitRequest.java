package org.trefoilbarrow.coordination.backend;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RouteTarget;

/**
 * A request for a permit.
 *
 * @param id identifies the demand at this host
 * @param target what the backend server must serve
 * @param organisation the organisation for which the work runs
 * @param weight the organisation's weight
 * @param maxQueued the most demands of the organisation that may wait
 * @param excluded the backend servers that already failed the work
 * @param affinity work with the same value prefers the same backend server
 */
public record PermitRequest(
    long id,
    RouteTarget target,
    OrganisationId organisation,
    int weight,
    int maxQueued,
    Set<BackendServerId> excluded,
    String affinity) {
  /** Checks the components, and copies those that could change. */
  public PermitRequest {
    excluded = ImmutableSet.copyOf(excluded);
  }
}
