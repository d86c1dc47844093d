package org.trefoilbarrow.coordination.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;

/**
 * The permits that this host has borrowed from other hosts. Guarded by the lock of {@link
 * PermitScheduler}.
 *
 * <p>A request starts on a borrowed permit only while the loan is valid. A started request may run
 * to its end even if the loan can no longer be renewed.
 */
final class BorrowedPermits {
  /** The time after which an unused permit is returned. */
  private static final Duration RETURN_UNUSED_AFTER = Duration.ofMillis(300);

  /** Renewals during one loan, so that one lost renewal does not end it. */
  private static final int RENEWALS_PER_LOAN = 3;

  private final PermitRules rules;
  private final List<Borrowed> loans = new ArrayList<>();

  /** A borrowed permit. */
  static final class Borrowed {
    private final HostId lender;
    private final long id;
    private final BackendServerId backend;
    private long validUntilNanos;
    private long renewalSentNanos;
    private long unusedSinceNanos;
    private boolean inUse;
    private boolean recalled;

    private Borrowed(HostId lender, PermitLoan loan, long sentAtNanos, long nowNanos) {
      this.lender = lender;
      this.id = loan.id();
      this.backend = loan.backend();
      this.validUntilNanos = sentAtNanos + loan.validNanos();
      this.renewalSentNanos = sentAtNanos;
      this.unusedSinceNanos = nowNanos;
    }
  }

  BorrowedPermits(PermitRules rules) {
    this.rules = checkNotNull(rules, "rules");
  }

  void add(HostId lender, PermitLoan loan, long sentAtNanos, long nowNanos) {
    loans.add(new Borrowed(lender, loan, sentAtNanos, nowNanos));
  }

  /** Returns whether a request may start on a borrowed permit of a backend server. */
  boolean hasFree(BackendServerId backend, long nowNanos) {
    return findFree(backend, nowNanos).isPresent();
  }

  /** Acquires a borrowed permit; {@link #hasFree} must have returned true. */
  Borrowed acquire(BackendServerId backend, long nowNanos) {
    Borrowed loan = findFree(backend, nowNanos).orElseThrow();
    loan.inUse = true;
    return loan;
  }

  /** Releases a borrowed permit, which stays borrowed. */
  void release(Borrowed loan, long nowNanos) {
    loan.inUse = false;
    loan.unusedSinceNanos = nowNanos;
  }

  /** Returns the number of requests in progress on borrowed permits of a backend server. */
  int inUse(BackendServerId backend) {
    return (int) loans.stream().filter(loan -> loan.inUse && loan.backend.equals(backend)).count();
  }

  /** Returns the number of loans that are valid. */
  int valid(long nowNanos) {
    return (int) loans.stream().filter(loan -> loan.validUntilNanos - nowNanos > 0).count();
  }

  /** Returns the loans to renew now, by lender; each is returned once for each renewal. */
  Map<HostId, List<Long>> collectRenewals(long nowNanos) {
    long renewEveryNanos = rules.loan().toNanos() / RENEWALS_PER_LOAN;
    Map<HostId, List<Long>> renewals = new HashMap<>();
    for (Borrowed loan : loans) {
      if (nowNanos - loan.renewalSentNanos >= renewEveryNanos) {
        loan.renewalSentNanos = nowNanos;
        renewals.computeIfAbsent(loan.lender, unused -> new ArrayList<>()).add(loan.id);
      }
    }
    return renewals;
  }

  void onRenewed(HostId lender, LoanRenewal renewal, long sentAtNanos) {
    for (Borrowed loan : loans) {
      if (loan.id == renewal.id() && loan.lender.equals(lender)) {
        loan.recalled |= renewal.recalled();
        loan.validUntilNanos = Math.max(loan.validUntilNanos, sentAtNanos + renewal.validNanos());
      }
    }
  }

  /** Removes and returns the loans to return now, by lender. */
  Map<HostId, List<Long>> collectReturns(long nowNanos) {
    Map<HostId, List<Long>> toReturn = new HashMap<>();
    for (Borrowed loan : ImmutableList.copyOf(loans)) {
      boolean unusedTooLong = nowNanos - loan.unusedSinceNanos >= RETURN_UNUSED_AFTER.toNanos();
      boolean expired = loan.validUntilNanos - nowNanos <= 0;
      if (!loan.inUse && (loan.recalled || unusedTooLong || expired)) {
        loans.remove(loan);
        toReturn.computeIfAbsent(loan.lender, unused -> new ArrayList<>()).add(loan.id);
      }
    }
    return toReturn;
  }

  private Optional<Borrowed> findFree(BackendServerId backend, long nowNanos) {
    return loans.stream()
        .filter(loan -> !loan.inUse && !loan.recalled)
        .filter(loan -> loan.backend.equals(backend))
        .filter(loan -> loan.validUntilNanos - nowNanos > 0)
        .findFirst();
  }
}
