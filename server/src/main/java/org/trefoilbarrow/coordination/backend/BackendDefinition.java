package org.trefoilbarrow.coordination.backend;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.RouteTarget;

/**
 * What the configuration states about a backend server.
 *
 * @param id the backend server
 * @param address the base address
 * @param failureDomain the failure domain that it stands in
 * @param targets what it serves
 * @param permits the most requests that it bears when warm, over all hosts
 * @param coldPermits the most requests that it bears after a cold start, over all hosts
 * @param accepting whether it may get new work
 */
public record BackendDefinition(
    BackendServerId id,
    String address,
    FailureDomainId failureDomain,
    Set<RouteTarget> targets,
    int permits,
    int coldPermits,
    boolean accepting) {
  /** Checks the components, and copies those that could change. */
  public BackendDefinition {
    targets = ImmutableSet.copyOf(targets);
  }

  /** Returns this definition for a server that gets no new work. */
  BackendDefinition asLeaving() {
    return new BackendDefinition(id, address, failureDomain, targets, permits, coldPermits, false);
  }
}
