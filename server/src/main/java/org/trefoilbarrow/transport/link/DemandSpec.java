package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * What a host asks a place for.
 *
 * @param service the service that must do the work
 * @param organisation whose grant the work counts against, if any
 * @param priority the rank, 0 is the highest
 * @param batch whether the work is a batch item
 * @param objectiveNanos until when the work must be placed to be on time, or its job is due
 * @param deadlineNanos when nobody waits any more
 * @param repeated whether the caller, or this host, tries again
 * @param excluded backend servers that must not get the work
 * @param request the request's identifier, for logs
 */
public record DemandSpec(
    String service,
    Optional<OrganisationId> organisation,
    int priority,
    boolean batch,
    long objectiveNanos,
    long deadlineNanos,
    boolean repeated,
    Set<BackendServerId> excluded,
    String request) {
  /** Checks the components, and copies those that could change. */
  public DemandSpec {
    checkNotNull(service, "service");
    checkNotNull(organisation, "organisation");
    checkNotNull(request, "request");
    excluded = ImmutableSet.copyOf(excluded);
  }

  /** Returns this demand with one more backend server that must not get the work. */
  public DemandSpec excluding(BackendServerId backend) {
    return new DemandSpec(
        service,
        organisation,
        priority,
        batch,
        objectiveNanos,
        deadlineNanos,
        repeated,
        ImmutableSet.<BackendServerId>builder().addAll(excluded).add(backend).build(),
        request);
  }
}
