package org.trefoilbarrow.transport.link;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.trefoilbarrow.coordination.dispatch.Demand;
import org.trefoilbarrow.coordination.dispatch.DemandId;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.transport.link.generated.DemandMessage;

/**
 * Converts demands from and to messages. Messages carry the time that is left, since the monotonic
 * clocks of hosts differ.
 */
final class DemandMessages {
  private static final long NANOS_IN_MILLI = 1_000_000;

  private DemandMessages() {}

  /**
   * Returns the message that submits a demand.
   *
   * @param number the number of the call at its host
   * @param runningOn the backend server at which the call runs already, if it does
   */
  static DemandMessage of(
      long number, DemandSpec demand, Optional<BackendServerId> runningOn, long nowNanos) {
    DemandMessage message =
        new DemandMessage(
            number,
            demand.service(),
            demand.priority(),
            demand.batch(),
            (demand.objectiveNanos() - nowNanos) / NANOS_IN_MILLI,
            (demand.deadlineNanos() - nowNanos) / NANOS_IN_MILLI,
            0,
            demand.repeated(),
            demand.request());
    demand.organisation().ifPresent(id -> message.setOrganisation(id.value()));
    if (!demand.excluded().isEmpty()) {
      message.setExcluded(demand.excluded().stream().map(BackendServerId::value).toList());
    }
    if (!demand.promptParts().isEmpty()) {
      message.setPromptParts(demand.promptParts().stream().map(PromptPartId::value).toList());
    }
    runningOn.ifPresent(backend -> message.setRunningOn(backend.value()));
    return message;
  }

  /** Returns the demand that a host has submitted by a message. */
  static Demand toDemand(HostId host, DemandMessage message, long nowNanos) {
    Set<BackendServerId> excluded = new HashSet<>();
    if (message.isSetExcluded()) {
      message.getExcluded().forEach(backend -> excluded.add(BackendServerId.of(backend)));
    }
    return new Demand(
        new DemandId(host, message.getCall()),
        message.getTarget(),
        message.isSetOrganisation()
            ? Optional.of(OrganisationId.of(message.getOrganisation()))
            : Optional.empty(),
        message.getPriority(),
        message.isBatch(),
        nowNanos + message.getObjectiveMillis() * NANOS_IN_MILLI,
        nowNanos + message.getRemainingMillis() * NANOS_IN_MILLI,
        message.isRepeated(),
        excluded,
        message.isSetPromptParts() ? parts(message.getPromptParts()) : ImmutableList.of());
  }

  /** Returns a demand of this host. */
  static Demand toDemand(DemandId id, DemandSpec demand) {
    return new Demand(
        id,
        demand.service(),
        demand.organisation(),
        demand.priority(),
        demand.batch(),
        demand.objectiveNanos(),
        demand.deadlineNanos(),
        demand.repeated(),
        demand.excluded(),
        demand.promptParts());
  }

  /** Returns the prompt parts with the given identifiers. */
  static ImmutableList<PromptPartId> parts(List<String> identifiers) {
    return identifiers.stream().map(PromptPartId::of).collect(ImmutableList.toImmutableList());
  }
}
