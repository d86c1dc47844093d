package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * Work that wants a place at a backend server.
 *
 * @param id identifies the demand
 * @param service the service that must do the work
 * @param organisation whose grant the work counts against, if any
 * @param priority the rank, 0 is the highest
 * @param batch whether the work is a batch item, which may be interrupted
 * @param objectiveNanos until when the work must be placed to be on time; for a batch item, when
 *     its job is due less the time that the item is expected to run
 * @param deadlineNanos when nobody waits for the work any more
 * @param repeated whether the caller was refused before
 * @param excluded backend servers that must not get the work
 */
public record Demand(
    DemandId id,
    String service,
    Optional<OrganisationId> organisation,
    int priority,
    boolean batch,
    long objectiveNanos,
    long deadlineNanos,
    boolean repeated,
    Set<BackendServerId> excluded) {

  /** Checks the components, and copies those that could change. */
  public Demand {
    checkNotNull(id, "id");
    checkNotNull(service, "service");
    checkNotNull(organisation, "organisation");
    excluded = ImmutableSet.copyOf(excluded);
  }
}
