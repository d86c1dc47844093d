package org.trefoilbarrow.coordination.backend;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RouteTarget;

/**
 * A request for a permit at a backend server of a target.
 *
 * @param id identifies the request at this host
 * @param target what the backend server must serve
 * @param organisation the organisation that the work runs for
 * @param weight the organisation's weight
 * @param maxQueued the most requests of the organisation that may wait
 * @param excluded the backend servers at which the work has already failed
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
  /** Copies the set of excluded backend servers. */
  public PermitRequest {
    excluded = ImmutableSet.copyOf(excluded);
  }
}
