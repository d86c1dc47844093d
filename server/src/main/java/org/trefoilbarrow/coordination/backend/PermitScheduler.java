package org.trefoilbarrow.coordination.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.annotations.VisibleForTesting;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.RouteTarget;
import org.trefoilbarrow.protocol.ServiceException;

/**
 * Decides which request of this host may go to which backend server, and when.
 *
 * <p>Each backend server's permits are divided into shares; this host uses the permits of the
 * shares that it holds, and borrows others for waiting online requests. Online requests wait in a
 * fair queue and go first. Batch work gets only permits that online work has not used recently, and
 * its permits are revoked when online requests wait. Times are readings of the monotonic clock, in
 * nanoseconds. Thread-safe.
 */
public final class PermitScheduler {
  private final PermitRules rules;
  private final BackendChoice choice;
  private final int shareCount;
  private final Map<BackendServerId, BackendState> backends =
      new TreeMap<>(Comparator.comparing(BackendServerId::value));
  private final Map<RouteTarget, FairQueue> queues = new HashMap<>();
  private final OnlineUsage onlineUsage;
  private final Map<Long, Held> held = new HashMap<>();
  private final Set<Long> revoked = new HashSet<>();
  private final LentPermits lent;
  private final BorrowedPermits borrowed;
  private final Map<RouteTarget, BorrowerDemand> borrowerDemands = new HashMap<>();
  private Set<Integer> shares = ImmutableSet.of();
  private long nextPermitId = 1;

  /** A permit in use, the target that it was granted for, and its loan if it is borrowed. */
  private record Held(Permit permit, RouteTarget target, BorrowedPermits.@Nullable Borrowed loan) {}

  /** Permits that another host recently requested in vain; batch work leaves them free. */
  private record BorrowerDemand(int permits, long untilNanos) {}

  /**
   * Creates a scheduler without backend servers or shares.
   *
   * @param choice chooses among the backend servers that may get a request
   * @param firstLoanId the identifier of the first loan, above all that an earlier start of this
   *     host has used
   */
  public PermitScheduler(
      PermitRules rules, BackendChoice choice, int shareCount, long firstLoanId) {
    this.rules = checkNotNull(rules, "rules");
    this.choice = checkNotNull(choice, "choice");
    this.onlineUsage = new OnlineUsage(rules.peakWindow());
    this.shareCount = shareCount;
    this.lent = new LentPermits(rules, firstLoanId);
    this.borrowed = new BorrowedPermits(rules);
  }

  /** Replaces the configured backend servers; those not among them get no new work. */
  public synchronized void configure(Collection<BackendDefinition> definitions, long nowNanos) {
    Set<BackendServerId> named = new HashSet<>();
    for (BackendDefinition definition : definitions) {
      named.add(definition.id());
      BackendState state = backends.get(definition.id());
      if (state == null) {
        backends.put(definition.id(), new BackendState(rules, definition, nowNanos));
      } else {
        state.setDefinition(definition, nowNanos);
      }
    }
    for (BackendState state : backends.values()) {
      if (!named.contains(state.definition().id())) {
        state.setDefinition(state.definition().asLeaving(), nowNanos);
      }
    }
    // A state with requests in progress is kept, so that they still count if the server returns.
    backends.values().removeIf(s -> !named.contains(s.definition().id()) && s.inProgress() == 0);
  }

  /** Replaces the shares whose permits this host may use. */
  public synchronized void setShares(Set<Integer> usableShares) {
    shares = ImmutableSet.copyOf(usableShares);
  }

  /**
   * Requests a permit for online work.
   *
   * @return a permit, or empty if the request now waits for {@link #assign}
   * @throws ServiceException if no backend server serves the target, or the queue is full
   */
  public synchronized Optional<Permit> request(PermitRequest request, long nowNanos) {
    FairQueue queue = queues.computeIfAbsent(request.target(), unused -> new FairQueue());
    if (queue.size() == 0) {
      Optional<Permit> permit = tryStart(request, WorkClass.ONLINE, nowNanos);
      if (permit.isPresent()) {
        return permit;
      }
    }
    if (candidates(request.target(), request.excluded()).isEmpty()) {
      throw new ServiceException(
          ErrorKind.NO_BACKEND_SERVER,
          "no backend server accepts work for \"%s\" now",
          request.target());
    }
    if (queue.size(request.organisation()) >= request.maxQueued()) {
      throw new ServiceException(
          ErrorKind.QUEUE_FULL,
          "queue of organisation \"%s\" is full: the limit of %s waiting requests is reached",
          request.organisation(),
          request.maxQueued());
    }
    queue.add(request);
    return Optional.empty();
  }

  /** Withdraws a waiting request; returns false if it already got a permit. */
  public synchronized boolean withdraw(PermitRequest request) {
    FairQueue queue = queues.get(request.target());
    return queue != null && queue.remove(request);
  }

  /** Assigns free permits to waiting requests. */
  public synchronized List<Assignment> assign(long nowNanos) {
    lent.expire(nowNanos);
    List<Assignment> assignments = new ArrayList<>();
    for (FairQueue queue : queues.values()) {
      while (queue.size() > 0) {
        Optional<PermitRequest> next =
            queue.poll(request -> !free(request, WorkClass.ONLINE, nowNanos).isEmpty());
        if (next.isEmpty()) {
          break;
        }
        Permit permit = tryStart(next.get(), WorkClass.ONLINE, nowNanos).orElseThrow();
        assignments.add(new Assignment(next.get().id(), permit));
      }
    }
    return assignments;
  }

  /** Acquires a permit for batch work, if online work leaves one free. */
  public synchronized Optional<Permit> tryAcquireForBatch(PermitRequest request, long nowNanos) {
    FairQueue queue = queues.get(request.target());
    if (queue != null && queue.size() > 0) {
      return Optional.empty();
    }
    if (availableForBatch(request.target(), nowNanos) <= 0) {
      return Optional.empty();
    }
    return tryStart(request, WorkClass.BATCH, nowNanos);
  }

  /**
   * Revokes and returns the batch permits that must be released now for waiting online requests.
   */
  public synchronized List<Permit> collectRevocations(long nowNanos) {
    List<Permit> collected = new ArrayList<>();
    for (Map.Entry<RouteTarget, FairQueue> entry : queues.entrySet()) {
      int waiting = entry.getValue().size() + borrowerDemand(entry.getKey(), nowNanos);
      int needed = waiting - countRevoked(entry.getKey());
      if (needed > 0) {
        collected.addAll(revoke(entry.getKey(), needed));
      }
    }
    collected.addAll(revokeExcess(nowNanos));
    return collected;
  }

  /** Releases a permit. */
  public synchronized void release(Permit permit, CallResult result, long nowNanos) {
    Held ended = held.remove(permit.id());
    if (ended == null) {
      return;
    }
    revoked.remove(permit.id());
    if (permit.workClass() == WorkClass.ONLINE) {
      onlineUsage.onEnd(ended.target(), nowNanos);
    }
    BackendState state = backends.get(permit.backend().id());
    if (ended.loan() != null) {
      borrowed.release(ended.loan(), nowNanos);
    } else if (state != null) {
      state.removeRequest(permit.workClass());
    }
    if (state != null) {
      state.onResult(result, nowNanos);
    }
  }

  /**
   * Lends permits to another host whose online requests wait.
   *
   * <p>Only permits of warm backend servers are lent, and only those that this host's online work
   * has not used recently. If batch work holds them, its permits are revoked for the borrower's
   * next request.
   *
   * @param wanted the most permits to lend
   */
  public synchronized List<PermitLoan> lend(
      HostId borrower, RouteTarget target, int wanted, long nowNanos) {
    lent.expire(nowNanos);
    FairQueue queue = queues.get(target);
    if (queue != null && queue.size() > 0) {
      return ImmutableList.of();
    }
    List<PermitLoan> loans = new ArrayList<>();
    int available = Math.min(wanted, availableForLending(target, nowNanos));
    for (BackendState state : candidates(target, ImmutableSet.of())) {
      if (!state.mayUseLoans(nowNanos)) {
        continue;
      }
      int free = state.limit(shares, shareCount, nowNanos) - state.inProgress();
      int count = Math.max(0, Math.min(available, free));
      loans.addAll(lent.lend(state, borrower, count, nowNanos));
      available -= count;
    }
    if (loans.size() < wanted) {
      long until = nowNanos + rules.loan().toNanos();
      borrowerDemands.put(target, new BorrowerDemand(wanted - loans.size(), until));
    } else {
      borrowerDemands.remove(target);
    }
    return loans;
  }

  /** Renews loans of this host's permits; a loan that is not in the result has ended. */
  public synchronized List<LoanRenewal> renewLoans(
      HostId borrower, List<Long> loanIds, long nowNanos) {
    lent.expire(nowNanos);
    recallLoans(nowNanos);
    return lent.renew(borrower, loanIds, nowNanos);
  }

  /** Records that a borrower has returned lent permits. */
  public synchronized void onPermitsReturned(HostId borrower, List<Long> loanIds) {
    lent.onReturned(borrower, loanIds);
  }

  /** Returns the targets whose waiting online requests could use permits of other hosts. */
  public synchronized List<PermitShortage> permitShortages(long nowNanos) {
    List<PermitShortage> shortages = new ArrayList<>();
    for (Map.Entry<RouteTarget, FairQueue> entry : queues.entrySet()) {
      boolean usable =
          candidates(entry.getKey(), ImmutableSet.of()).stream()
              .anyMatch(state -> state.mayUseLoans(nowNanos));
      if (usable && entry.getValue().size() > 0) {
        shortages.add(new PermitShortage(entry.getKey(), entry.getValue().size()));
      }
    }
    return shortages;
  }

  /**
   * Adds permits borrowed from another host.
   *
   * @param sentAtNanos when the request was sent, by this host's clock
   */
  public synchronized void onLoans(
      HostId lender, List<PermitLoan> loans, long sentAtNanos, long nowNanos) {
    loans.forEach(loan -> borrowed.add(lender, loan, sentAtNanos, nowNanos));
  }

  /** Returns the number of borrowed permits whose loans are valid. */
  @VisibleForTesting
  synchronized int validLoans(long nowNanos) {
    return borrowed.valid(nowNanos);
  }

  /** Returns the loans to renew now, by lender. */
  public synchronized Map<HostId, List<Long>> collectRenewals(long nowNanos) {
    return borrowed.collectRenewals(nowNanos);
  }

  /**
   * Records the renewal of a loan.
   *
   * @param sentAtNanos when the request was sent, by this host's clock
   */
  public synchronized void onRenewed(HostId lender, LoanRenewal renewal, long sentAtNanos) {
    borrowed.onRenewed(lender, renewal, sentAtNanos);
  }

  /** Removes and returns the loans to return now, by lender. */
  public synchronized Map<HostId, List<Long>> collectReturns(long nowNanos) {
    return borrowed.collectReturns(nowNanos);
  }

  /** Records that a backend server is reachable. */
  public synchronized void onReachable(BackendServerId backend, long nowNanos) {
    BackendState state = backends.get(backend);
    if (state != null) {
      state.onReachable(shares, shareCount, nowNanos);
    }
  }

  /** Records the boot id in a response of a backend server. */
  public synchronized void onBootId(BackendServerId backend, String bootId, long nowNanos) {
    BackendState state = backends.get(backend);
    if (state != null) {
      state.onBootId(bootId, nowNanos);
    }
  }

  /** Records a backend server's load report. */
  public synchronized void onLoadReport(
      BackendServerId backend, Optional<String> bootId, boolean cold, long nowNanos) {
    BackendState state = backends.get(backend);
    if (state != null) {
      state.onLoadReport(bootId, cold, nowNanos);
    }
  }

  /** Returns whether the work in progress would stay within the limits without the given share. */
  public synchronized boolean isDrained(int share, long nowNanos) {
    Set<Integer> without = new HashSet<>(shares);
    without.remove(share);
    return backends.values().stream()
        .allMatch(state -> state.inProgress() <= state.limit(without, shareCount, nowNanos));
  }

  /** Returns the state of each backend server, for reports. */
  public synchronized List<BackendReport> report(long nowNanos) {
    return backends.values().stream().map(state -> reportOf(state, nowNanos)).toList();
  }

  private BackendReport reportOf(BackendState state, long nowNanos) {
    // The limit is computed first because this updates the temperature.
    int limit = state.limit(shares, shareCount, nowNanos);
    return new BackendReport(
        state.definition().id(),
        state.temperature(),
        state.online(),
        state.batch(),
        state.lent(),
        borrowed.inUse(state.definition().id()),
        limit);
  }

  private Optional<Permit> tryStart(PermitRequest request, WorkClass workClass, long nowNanos) {
    Optional<BackendState> chosen = choose(request, workClass, nowNanos);
    if (chosen.isEmpty()) {
      return Optional.empty();
    }
    BackendState state = chosen.get();
    BorrowedPermits.Borrowed loan = null;
    if (state.mayStart(shares, shareCount, nowNanos)) {
      state.addRequest(workClass);
    } else {
      loan = borrowed.acquire(state.definition().id(), nowNanos);
    }
    Permit permit =
        new Permit(nextPermitId++, workClass, request.organisation(), state.definition());
    held.put(permit.id(), new Held(permit, request.target(), loan));
    if (workClass == WorkClass.ONLINE) {
      onlineUsage.onStart(request.target(), nowNanos);
    }
    return Optional.of(permit);
  }

  private Optional<BackendState> choose(PermitRequest request, WorkClass workClass, long nowNanos) {
    List<BackendCandidate> free = free(request, workClass, nowNanos);
    if (free.isEmpty()) {
      return Optional.empty();
    }
    String affinity = workClass == WorkClass.BATCH ? "" : request.affinity();
    return Optional.of(backends.get(choice.choose(free, affinity).definition().id()));
  }

  /** Returns the backend servers that may get a request now. */
  private List<BackendCandidate> free(PermitRequest request, WorkClass workClass, long nowNanos) {
    return candidates(request.target(), request.excluded()).stream()
        .filter(state -> mayStart(state, workClass, nowNanos))
        .map(state -> candidate(state, nowNanos))
        .toList();
  }

  private BackendCandidate candidate(BackendState state, long nowNanos) {
    int limit = state.limit(shares, shareCount, nowNanos);
    return new BackendCandidate(state.definition(), state.inProgress(), limit);
  }

  private boolean mayStart(BackendState state, WorkClass workClass, long nowNanos) {
    if (state.mayStart(shares, shareCount, nowNanos)) {
      return true;
    }
    return workClass == WorkClass.ONLINE
        && state.mayUseLoans(nowNanos)
        && borrowed.hasFree(state.definition().id(), nowNanos);
  }

  private List<BackendState> candidates(RouteTarget target, Set<BackendServerId> excluded) {
    return backends.values().stream()
        .filter(state -> state.definition().accepting())
        .filter(state -> state.definition().targets().contains(target))
        .filter(state -> !excluded.contains(state.definition().id()))
        .toList();
  }

  private int availableForBatch(RouteTarget target, long nowNanos) {
    int available = -borrowerDemand(target, nowNanos);
    for (BackendState state : candidates(target, ImmutableSet.of())) {
      available += state.limit(shares, shareCount, nowNanos) - state.batch() - state.lent();
    }
    return available - onlineUsage.batchPeak(target, nowNanos);
  }

  /** Returns the number of permits that neither online work used recently nor borrowers hold. */
  private int availableForLending(RouteTarget target, long nowNanos) {
    int available = 0;
    for (BackendState state : candidates(target, ImmutableSet.of())) {
      available += state.limit(shares, shareCount, nowNanos) - state.lent();
    }
    return Math.max(0, available - onlineUsage.lendingPeak(target, nowNanos));
  }

  private int borrowerDemand(RouteTarget target, long nowNanos) {
    BorrowerDemand demand = borrowerDemands.get(target);
    return demand == null || demand.untilNanos() - nowNanos <= 0 ? 0 : demand.permits();
  }

  /**
   * Recalls the lent permits that this host needs, for waiting requests or after it lost shares.
   */
  private void recallLoans(long nowNanos) {
    for (BackendState state : backends.values()) {
      int excess = state.inProgress() - state.limit(shares, shareCount, nowNanos);
      lent.recall(state, Math.max(0, excess));
    }
    for (Map.Entry<RouteTarget, FairQueue> entry : queues.entrySet()) {
      int needed = entry.getValue().size();
      for (BackendState state : candidates(entry.getKey(), ImmutableSet.of())) {
        lent.recall(state, Math.min(needed, state.lent()));
        needed -= Math.min(needed, state.lent());
      }
    }
  }

  private int countRevoked(RouteTarget target) {
    return (int) revoked.stream().map(held::get).filter(h -> h.target().equals(target)).count();
  }

  private List<Permit> revoke(RouteTarget target, int count) {
    return revokeLatest(held -> held.target().equals(target), count);
  }

  /** Revokes batch permits above the limit, after shares were lost or a server became cold. */
  private List<Permit> revokeExcess(long nowNanos) {
    List<Permit> collected = new ArrayList<>();
    for (BackendState state : backends.values()) {
      int excess = state.inProgress() - state.limit(shares, shareCount, nowNanos);
      if (excess > 0 && state.batch() > 0) {
        BackendServerId backend = state.definition().id();
        collected.addAll(
            revokeLatest(held -> held.permit().backend().id().equals(backend), excess));
      }
    }
    return collected;
  }

  /** Revokes batch permits, the latest first, so that the least work is lost. */
  private List<Permit> revokeLatest(Predicate<Held> which, int count) {
    List<Permit> chosen =
        held.values().stream()
            .filter(which)
            .map(Held::permit)
            .filter(permit -> permit.workClass() == WorkClass.BATCH)
            .filter(permit -> !revoked.contains(permit.id()))
            .sorted(Comparator.comparingLong(Permit::id).reversed())
            .limit(count)
            .toList();
    chosen.forEach(permit -> revoked.add(permit.id()));
    return chosen;
  }
}
