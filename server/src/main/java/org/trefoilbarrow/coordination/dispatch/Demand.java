package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.PromptPartId;

/**
 * Work that needs a slot at a backend server.
 *
 * @param id identifies the demand
 * @param service the service whose backend servers can do the work
 * @param organisation the organisation whose rate the work counts against, if any
 * @param priority the priority; 0 is the highest
 * @param batch whether the work is a batch item, which may be interrupted
 * @param objectiveNanos the time until which the work must be placed to be on time; for a batch
 *     item, the due time of its job less the expected run time of the item
 * @param deadlineNanos the time after which the caller no longer waits
 * @param repeated whether the caller was refused before
 * @param excluded backend servers that must not get the work
 * @param promptParts the parts of its prompt that other work may share, in their order
 * @param profile what else is known about the work
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
    Set<BackendServerId> excluded,
    ImmutableList<PromptPartId> promptParts,
    WorkProfile profile) {

  /** Checks the components and copies the set. */
  public Demand {
    checkNotNull(id, "id");
    checkNotNull(service, "service");
    checkNotNull(organisation, "organisation");
    excluded = ImmutableSet.copyOf(excluded);
    checkNotNull(promptParts, "promptParts");
    checkNotNull(profile, "profile");
  }

  /** Creates a demand whose prompt has no shared parts, and of which nothing else is known. */
  public Demand(
      DemandId id,
      String service,
      Optional<OrganisationId> organisation,
      int priority,
      boolean batch,
      long objectiveNanos,
      long deadlineNanos,
      boolean repeated,
      Set<BackendServerId> excluded) {
    this(
        id,
        service,
        organisation,
        priority,
        batch,
        objectiveNanos,
        deadlineNanos,
        repeated,
        excluded,
        ImmutableList.of(),
        WorkProfile.UNKNOWN);
  }
}
