package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.trefoilbarrow.coordination.election.DispatchElection;
import org.trefoilbarrow.coordination.election.DispatchTerm;
import org.trefoilbarrow.coordination.election.TermReport;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.transport.link.generated.PulseMessage;
import org.trefoilbarrow.transport.link.generated.TermReportMessage;

/** Creates the heartbeats of this host, and reads those of others. */
final class Heartbeats {
  private final DispatchElection election;
  private final BooleanSupplier connectedToPlatform;

  Heartbeats(DispatchElection election, BooleanSupplier connectedToPlatform) {
    this.election = checkNotNull(election, "election");
    this.connectedToPlatform = checkNotNull(connectedToPlatform, "connectedToPlatform");
  }

  /**
   * Returns a heartbeat to a peer that can dispatch.
   *
   * @param getsSlotsThere whether this host gets its slots from the peer
   */
  PulseMessage request(long number, boolean getsSlotsThere) {
    return create(number, false, getsSlotsThere);
  }

  /**
   * Returns the answer to a heartbeat.
   *
   * @param chosenDispatcher whether any host that serves callers gets its slots from this host
   */
  PulseMessage answer(long number, boolean chosenDispatcher) {
    return create(number, true, chosenDispatcher);
  }

  /** Returns the report that a heartbeat carries. */
  static TermReport reportOf(PulseMessage heartbeat) {
    if (!heartbeat.isSetReport()) {
      return TermReport.NONE;
    }
    TermReportMessage message = heartbeat.getReport();
    return new TermReport(
        termOf(message), message.isReachesHolder(), message.isResigned(), message.isCandidate());
  }

  private static Optional<DispatchTerm> termOf(TermReportMessage message) {
    if (!message.isSetNumber()) {
      return Optional.empty();
    }
    return Optional.of(
        new DispatchTerm(
            message.getNumber(), HostId.of(message.getHolder()), message.getHolderStartedMillis()));
  }

  private PulseMessage create(long number, boolean isAnswer, boolean takesPlaces) {
    PulseMessage message = new PulseMessage(number, isAnswer, connectedToPlatform.getAsBoolean());
    message.setTakesPlaces(takesPlaces);
    message.setReport(toMessage(election.ownReport()));
    return message;
  }

  private static TermReportMessage toMessage(TermReport report) {
    TermReportMessage message =
        new TermReportMessage(report.reachesHolder(), report.resigned(), report.candidate());
    report
        .term()
        .ifPresent(
            term ->
                message
                    .setNumber(term.number())
                    .setHolder(term.holder().value())
                    .setHolderStartedMillis(term.holderStartedMillis()));
    return message;
  }
}
