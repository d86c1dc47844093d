package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.election.DispatchElection;
import org.trefoilbarrow.coordination.election.DispatchTerm;
import org.trefoilbarrow.transport.forward.EventLog;

/**
 * Claims the next term at the platform when the election decides so. Used only on the event loop's
 * thread.
 */
final class TermClaimer {
  private final DispatchElection election;
  private final TermStore store;
  private final BooleanSupplier canDispatch;
  private final BooleanSupplier connectedToPlatform;
  private final LongSupplier nanoClock;
  private final EventLog log;
  private boolean claiming;

  /**
   * Creates a claimer.
   *
   * @param canDispatch whether this host accepts the work of others and knows the backend servers
   */
  TermClaimer(
      DispatchElection election,
      TermStore store,
      BooleanSupplier canDispatch,
      BooleanSupplier connectedToPlatform,
      LongSupplier nanoClock,
      EventLog log) {
    this.election = checkNotNull(election, "election");
    this.store = checkNotNull(store, "store");
    this.canDispatch = checkNotNull(canDispatch, "canDispatch");
    this.connectedToPlatform = checkNotNull(connectedToPlatform, "connectedToPlatform");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.log = checkNotNull(log, "log");
  }

  /** Reads the newest term, so that a restarted host knows the term of its former process. */
  void start() {
    store.read(this::learn);
  }

  /** Claims the next term if it is time. */
  void tick(long nowNanos) {
    election.update(canDispatch.getAsBoolean(), connectedToPlatform.getAsBoolean(), nowNanos);
    if (!claiming && election.mustClaim(nowNanos)) {
      claiming = true;
      DispatchTerm next = election.nextTerm();
      log.add("dispatch", "claims a term", "term", next.number());
      store.claim(next, result -> finish(next, result));
    }
  }

  private void finish(DispatchTerm claimed, Optional<DispatchTerm> result) {
    claiming = false;
    learn(result);
    if (!result.equals(Optional.of(claimed))) {
      election.attemptFailed(nanoClock.getAsLong());
      log.add(
          "dispatch",
          "claim failed",
          "term",
          claimed.number(),
          "holder",
          result.map(term -> term.holder().value()).orElse("unknown"));
    }
  }

  private void learn(Optional<DispatchTerm> found) {
    found.ifPresent(term -> election.learn(term, nanoClock.getAsLong()));
  }
}
