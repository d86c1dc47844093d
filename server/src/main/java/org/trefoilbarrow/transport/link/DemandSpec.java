package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.trefoilbarrow.coordination.dispatch.WorkProfile;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.PromptPartId;

/**
 * The work for which a host requests a slot at a backend server.
 *
 * @param service the service that must process the work
 * @param organisation the organisation whose rate the work is charged to, if any
 * @param priority the rank; 0 is the highest
 * @param batch whether the work is a batch item
 * @param objectiveNanos the time by which the work must be placed to be on time
 * @param deadlineNanos the time after which the result is no longer wanted
 * @param repeated whether this is a retry by the caller or this host
 * @param excluded backend servers at which the work must not be placed
 * @param request the request's identifier, for logs
 * @param promptParts the parts of its prompt that other work may share, in their order
 * @param profile what else is known about the work
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
    String request,
    ImmutableList<PromptPartId> promptParts,
    WorkProfile profile) {
  /** Checks the components, and copies those that could change. */
  public DemandSpec {
    checkNotNull(service, "service");
    checkNotNull(organisation, "organisation");
    checkNotNull(request, "request");
    checkNotNull(promptParts, "promptParts");
    checkNotNull(profile, "profile");
    excluded = ImmutableSet.copyOf(excluded);
  }

  /** Creates a demand whose prompt has no shared parts, and of which nothing else is known. */
  public DemandSpec(
      String service,
      Optional<OrganisationId> organisation,
      int priority,
      boolean batch,
      long objectiveNanos,
      long deadlineNanos,
      boolean repeated,
      Set<BackendServerId> excluded,
      String request) {
    this(
        service,
        organisation,
        priority,
        batch,
        objectiveNanos,
        deadlineNanos,
        repeated,
        excluded,
        request,
        ImmutableList.of(),
        WorkProfile.UNKNOWN);
  }

  /** Returns a copy that also excludes the given backend server. */
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
        request,
        promptParts,
        profile);
  }
}
