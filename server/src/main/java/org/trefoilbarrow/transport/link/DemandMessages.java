package org.trefoilbarrow.transport.link;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.trefoilbarrow.coordination.dispatch.Demand;
import org.trefoilbarrow.coordination.dispatch.DemandId;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.coordination.dispatch.WorkProfile;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.protocol.WorkSize;
import org.trefoilbarrow.transport.link.generated.DemandMessage;
import org.trefoilbarrow.transport.link.generated.FinishedMessage;

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
    setProfile(message, demand.profile());
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
        message.isSetPromptParts() ? parts(message.getPromptParts()) : ImmutableList.of(),
        profileOf(message));
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
        demand.promptParts(),
        demand.profile());
  }

  private static void setProfile(DemandMessage message, WorkProfile profile) {
    if (profile.size().isKnown()) {
      message.setPromptTokens(profile.size().promptTokens());
      message.setOutputTokens(profile.size().outputTokens());
    }
    if (!profile.route().isEmpty()) {
      message.setRoute(profile.route());
    }
    profile.callerDomain().ifPresent(domain -> message.setCallerDomain(domain.value()));
    if (profile.expectedRunNanos() > 0) {
      message.setExpectedRunMillis(profile.expectedRunNanos() / NANOS_IN_MILLI);
    }
    if (!profile.promptPartTokens().isEmpty()) {
      message.setPromptPartTokens(profile.promptPartTokens());
    }
    profile.caller().ifPresent(organisation -> message.setCaller(organisation.value()));
  }

  private static WorkProfile profileOf(DemandMessage message) {
    return new WorkProfile(
        message.isSetRoute() ? message.getRoute() : "",
        message.isSetCallerDomain()
            ? Optional.of(FailureDomainId.of(message.getCallerDomain()))
            : Optional.empty(),
        new WorkSize(message.getPromptTokens(), message.getOutputTokens()),
        message.getExpectedRunMillis() * NANOS_IN_MILLI,
        message.isSetPromptPartTokens()
            ? ImmutableList.copyOf(message.getPromptPartTokens())
            : ImmutableList.of(),
        message.isSetCaller()
            ? Optional.of(OrganisationId.of(message.getCaller()))
            : Optional.empty());
  }

  /** Returns the message that ends a demand. */
  static FinishedMessage finished(long number, PlacementResult result, RunReport report) {
    FinishedMessage message = new FinishedMessage(number, result.ordinal());
    message.setResponseBegan(report.responseBegan());
    report.firstPartNanos().ifPresent(nanos -> message.setFirstPartMillis(nanos / NANOS_IN_MILLI));
    if (report.outputEvents() > 0) {
      message.setOutputEvents(report.outputEvents());
    }
    return message;
  }

  /** Returns what a host reports about the response to work that has ended. */
  static RunReport toReport(FinishedMessage message) {
    return new RunReport(
        message.isResponseBegan(),
        message.isSetFirstPartMillis()
            ? OptionalLong.of(message.getFirstPartMillis() * NANOS_IN_MILLI)
            : OptionalLong.empty(),
        message.getOutputEvents());
  }

  /** Returns the prompt parts with the given identifiers. */
  static ImmutableList<PromptPartId> parts(List<String> identifiers) {
    return identifiers.stream().map(PromptPartId::of).collect(ImmutableList.toImmutableList());
  }
}
