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
 * The permits that other hosts have lent to this one. Guarded by the lock of {@link
 * PermitScheduler}.
 *
 * <p>A request starts on a borrowed permit only while the loan is valid. Once started it may end
 * even if the loan can no longer be renewed.
 */
final class BorrowedPermits {
  /** An unused permit goes back after this time. */
  private static final Duration KEEP_UNUSED = Duration.ofMillis(300);

  /** Renewals in one loan, so that one lost renewal does not end it. */
  private static final int RENEWALS_IN_LOAN = 3;

  private final PermitRules rules;
  private final List<Borrowed> loans = new ArrayList<>();

  /** A borrowed permit. */
  static final class Borrowed {
    private final HostId lender;
    private final long id;
    private final BackendServerId backend;
    private long validUntilNanos;
    private long askedAtNanos;
    private long unusedSinceNanos;
    private boolean inUse;
    private boolean recalled;

    private Borrowed(HostId lender, PermitLoan loan, long sentAtNanos, long nowNanos) {
      this.lender = lender;
      this.id = loan.id();
      this.backend = loan.backend();
      this.validUntilNanos = sentAtNanos + loan.validNanos();
      this.askedAtNanos = sentAtNanos;
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

  /** Begins to use a permit that {@link #hasFree} has announced. */
  Borrowed use(BackendServerId backend, long nowNanos) {
    Borrowed loan = findFree(backend, nowNanos).orElseThrow();
    loan.inUse = true;
    return loan;
  }

  /** Ends the use of a permit. */
  void release(Borrowed loan, long nowNanos) {
    loan.inUse = false;
    loan.unusedSinceNanos = nowNanos;
  }

  /** Returns the number of requests in progress on borrowed permits of a backend server. */
  int inUse(BackendServerId backend) {
    return (int) loans.stream().filter(loan -> loan.inUse && loan.backend.equals(backend)).count();
  }

  /** Returns the number of loans on which a request may start, or is in progress in time. */
  int valid(long nowNanos) {
    return (int) loans.stream().filter(loan -> loan.validUntilNanos - nowNanos > 0).count();
  }

  /** Returns the loans to renew now; each is named once for each of its renewals. */
  Map<HostId, List<Long>> collectRenewals(long nowNanos) {
    long every = rules.loan().toNanos() / RENEWALS_IN_LOAN;
    Map<HostId, List<Long>> renewals = new HashMap<>();
    for (Borrowed loan : loans) {
      if (nowNanos - loan.askedAtNanos >= every) {
        loan.askedAtNanos = nowNanos;
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

  /** Returns the permits to give back now, and forgets loans that have ended. */
  Map<HostId, List<Long>> collectReturns(long nowNanos) {
    Map<HostId, List<Long>> toReturn = new HashMap<>();
    for (Borrowed loan : ImmutableList.copyOf(loans)) {
      boolean unusedForLong = nowNanos - loan.unusedSinceNanos >= KEEP_UNUSED.toNanos();
      boolean over = loan.validUntilNanos - nowNanos <= 0;
      if (!loan.inUse && (loan.recalled || unusedForLong || over)) {
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
