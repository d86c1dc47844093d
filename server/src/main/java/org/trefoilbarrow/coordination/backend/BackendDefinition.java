package org.trefoilbarrow.coordination.backend;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.RouteTarget;

/**
 * The configuration of a backend server.
 *
 * @param id the backend server
 * @param address the base address
 * @param failureDomain its failure domain
 * @param targets the models and services that it serves
 * @param permits the most requests in progress that it supports when warm, over all hosts
 * @param coldPermits the most requests in progress that it supports after a cold start, over all
 *     hosts
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
  /** Copies the set of targets. */
  public BackendDefinition {
    targets = ImmutableSet.copyOf(targets);
  }

  /** Returns this definition for a server that leaves and gets no new work. */
  BackendDefinition asLeaving() {
    return new BackendDefinition(id, address, failureDomain, targets, permits, coldPermits, false);
  }
}
