package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import org.trefoilbarrow.coordination.election.DispatchElection;
import org.trefoilbarrow.coordination.election.DispatchTerm;
import org.trefoilbarrow.coordination.election.TermReport;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.coordination.watch.WatchedCollections;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.transport.link.generated.PulseMessage;
import org.trefoilbarrow.transport.link.generated.TermReportMessage;

/** Creates the heartbeats of this host, and reads those of others. */
final class Heartbeats {
  private final DispatchElection election;
  private final CollectionRevisions revisions;
  private final BooleanSupplier connectedToPlatform;

  Heartbeats(
      DispatchElection election,
      CollectionRevisions revisions,
      BooleanSupplier connectedToPlatform) {
    this.election = checkNotNull(election, "election");
    this.revisions = checkNotNull(revisions, "revisions");
    this.connectedToPlatform = checkNotNull(connectedToPlatform, "connectedToPlatform");
  }

  /**
   * Returns the source of the heartbeats by number on one connection to a peer that can dispatch.
   *
   * @param getsSlotsThere whether this host gets its slots from the peer
   */
  LongFunction<PulseMessage> requests(BooleanSupplier getsSlotsThere) {
    CollectionRevisions.Cursor cursor =
        new CollectionRevisions.Cursor(WatchedCollections.BY_JOB_HOSTS);
    return number -> create(number, false, getsSlotsThere.getAsBoolean(), cursor);
  }

  /**
   * Returns the answer to a heartbeat.
   *
   * @param chosenDispatcher whether any host that serves callers gets its slots from this host
   * @param cursor what the peer was told on its connection
   */
  PulseMessage answer(long number, boolean chosenDispatcher, CollectionRevisions.Cursor cursor) {
    return create(number, true, chosenDispatcher, cursor);
  }

  /** Records the changes of which a heartbeat of a peer tells. */
  void recordRevisions(HostId peer, PulseMessage heartbeat, long nowNanos) {
    if (!heartbeat.isSetRevisions()) {
      return;
    }
    heartbeat
        .getRevisions()
        .forEach(
            (collection, revision) ->
                ObjectKind.ofCollection(collection)
                    .ifPresent(
                        kind -> revisions.recordTold(kind, revision, Optional.of(peer), nowNanos)));
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

  private PulseMessage create(
      long number, boolean isAnswer, boolean takesPlaces, CollectionRevisions.Cursor cursor) {
    PulseMessage message = new PulseMessage(number, isAnswer, connectedToPlatform.getAsBoolean());
    message.setTakesPlaces(takesPlaces);
    message.setReport(toMessage(election.ownReport()));
    revisions
        .takeNews(cursor)
        .forEach((kind, revision) -> message.putToRevisions(kind.collection(), revision));
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
