package org.trefoilbarrow.coordination.election;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilbarrow.protocol.HostId;

/**
 * Decides at one host which host dispatches, and when this host takes over.
 *
 * <p>Handles a platform that refuses some hosts, loses answers or is down, and short losses of
 * connections between hosts, all of which must not change the dispatching host:
 *
 * <ul>
 *   <li>A term ends only when the platform's record names the next one. A host follows the holder
 *       of the newest term that it knows while it receives heartbeats of that holder, and nobody
 *       otherwise. It stays with the term before until it reaches the new holder.
 *   <li>A candidate takes over only when neither it nor any host in contact with it reaches the
 *       holder. A candidate that reaches less than half of the hosts waits longer.
 *   <li>Candidates wait by rank, so that usually one tries; the conditional write of the record
 *       admits one at most.
 *   <li>A holder that leaves, or that has not reached the platform for long while a candidate does,
 *       resigns: others continue to follow it until the next term.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class DispatchElection {
  private final HostId self;
  private final long startedMillis;
  private final ElectionRules rules;
  private final Map<HostId, TermReport> reports = new HashMap<>();
  private Optional<DispatchTerm> term = Optional.empty();
  private Optional<DispatchTerm> termFollowedBefore = Optional.empty();
  private long learnedNanos;
  private int otherHostCount;
  private boolean candidate;
  private boolean leaving;
  private boolean outageTooLong;
  private Optional<Long> vacantSinceNanos = Optional.empty();
  private Optional<Long> platformLostSinceNanos = Optional.empty();
  private Optional<Long> nextAttemptNanos = Optional.empty();

  /** How certain it is that a term's holder no longer dispatches. */
  private enum Vacancy {
    /** Some host reaches the holder. */
    HELD,
    /** No host in contact with this one reaches the holder. */
    UNREACHABLE,
    /** There is no term, or its holder resigned or has restarted. */
    ENDED
  }

  /**
   * Creates the election of a host that knows no term yet.
   *
   * @param startedMillis when the process of this host started, in ms since the epoch
   */
  public DispatchElection(HostId self, long startedMillis, ElectionRules rules) {
    this.self = checkNotNull(self, "self");
    this.startedMillis = startedMillis;
    this.rules = checkNotNull(rules, "rules");
  }

  /** Sets how many other hosts are registered, live or not. */
  public void setOtherHostCount(int count) {
    checkArgument(count >= 0, "count must not be negative: %s", count);
    otherHostCount = count;
  }

  /** Records that this host is leaving: it takes over no term, and resigns the one that it has. */
  public void leave() {
    leaving = true;
  }

  /** Learns of a term from the platform; an older one than is known is ignored. */
  public void learn(DispatchTerm learned, long nowNanos) {
    if (learned.number() > termNumber()) {
      termFollowedBefore = followed(nowNanos);
      term = Optional.of(learned);
      learnedNanos = nowNanos;
      vacantSinceNanos = Optional.empty();
    }
  }

  /** Records the newest report of a peer. */
  public void report(HostId peer, TermReport report, long nowNanos) {
    report.term().ifPresent(reported -> learn(reported, nowNanos));
    reports.put(peer, report);
  }

  /** Records that heartbeats of a peer have timed out. */
  public void lose(HostId peer) {
    reports.remove(peer);
  }

  /**
   * Updates whether this host can take over, and whether it resigns.
   *
   * @param ready whether this host accepts the work of other hosts and knows the backend servers
   * @param connectedToPlatform whether the platform answers this host
   */
  public void update(boolean ready, boolean connectedToPlatform, long nowNanos) {
    candidate = ready && connectedToPlatform && !leaving;
    if (connectedToPlatform) {
      platformLostSinceNanos = Optional.empty();
    } else if (platformLostSinceNanos.isEmpty()) {
      platformLostSinceNanos = Optional.of(nowNanos);
    }
    outageTooLong =
        platformLostSinceNanos.isPresent()
            && nowNanos - platformLostSinceNanos.get() >= rules.maxHolderOutage().toNanos()
            && reports.values().stream().anyMatch(TermReport::candidate);
    if (vacancy() == Vacancy.HELD) {
      vacantSinceNanos = Optional.empty();
    } else if (vacantSinceNanos.isEmpty()) {
      vacantSinceNanos = Optional.of(nowNanos);
    }
  }

  /** Returns whether this host must try to take over now. */
  public boolean mustClaim(long nowNanos) {
    if (!candidate || vacantSinceNanos.isEmpty()) {
      return false;
    }
    if (nextAttemptNanos.isPresent() && nowNanos - nextAttemptNanos.get() < 0) {
      return false;
    }
    return nowNanos - vacantSinceNanos.get() >= claimDelayNanos();
  }

  /** Records an attempt to take over that the platform did not confirm. */
  public void attemptFailed(long nowNanos) {
    nextAttemptNanos = Optional.of(nowNanos + rules.retryDelay().toNanos());
  }

  /** Returns the term by which this host would take over. */
  public DispatchTerm nextTerm() {
    return new DispatchTerm(termNumber() + 1, self, startedMillis);
  }

  /** Returns the number of the newest known term, or 0 if none is known. */
  public long termNumber() {
    return term.map(DispatchTerm::number).orElse(0L);
  }

  /** Returns whether this host holds the newest term that it knows. */
  public boolean isHolder() {
    return term.isPresent() && term.get().isHeldBy(self, startedMillis);
  }

  /** Returns the term whose holder dispatches for this host; empty if nobody does. */
  public Optional<DispatchTerm> followed(long nowNanos) {
    if (reachesHolder()) {
      return term;
    }
    boolean newHolderIsLive = term.isPresent() && reports.containsKey(term.get().holder());
    return newHolderIsLive && nowNanos - learnedNanos < rules.settleTime().toNanos()
        ? termFollowedBefore
        : Optional.empty();
  }

  /** Returns what this host tells its peers. */
  public TermReport ownReport() {
    return new TermReport(term, reachesHolder(), isResigned(), candidate);
  }

  private boolean reachesHolder() {
    if (term.isEmpty()) {
      return false;
    }
    TermReport ofHolder = reports.get(term.get().holder());
    return isHolder() || (ofHolder != null && ofHolder.confirms(term.get()));
  }

  private boolean isResigned() {
    return isHolder() && (leaving || outageTooLong);
  }

  private Vacancy vacancy() {
    if (term.isEmpty()) {
      return Vacancy.ENDED;
    }
    if (isHolder()) {
      return Vacancy.HELD;
    }
    HostId holder = term.get().holder();
    if (holder.equals(self) || hasEnded(reports.get(holder))) {
      return Vacancy.ENDED;
    }
    boolean reached = reports.values().stream().anyMatch(report -> report.confirms(term.get()));
    return reached ? Vacancy.HELD : Vacancy.UNREACHABLE;
  }

  /** Returns whether the holder's host itself reports that it does not dispatch any longer. */
  private boolean hasEnded(TermReport ofHolder) {
    if (ofHolder == null || !ofHolder.isAbout(term.get())) {
      return false;
    }
    return ofHolder.resigned() || !ofHolder.reachesHolder();
  }

  private long claimDelayNanos() {
    long rank =
        reports.entrySet().stream()
            .filter(entry -> entry.getValue().candidate())
            .filter(entry -> entry.getKey().value().compareTo(self.value()) < 0)
            .count();
    long delayNanos = rank * rules.rankStep().toNanos();
    if (vacancy() == Vacancy.ENDED && term.isPresent()) {
      return delayNanos;
    }
    boolean reachesHalf = 2 * reports.size() >= otherHostCount;
    return delayNanos
        + (reachesHalf ? rules.holderTimeout() : rules.isolatedHolderTimeout()).toNanos();
  }
}
