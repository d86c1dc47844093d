package org.trefoilbarrow.coordination.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.trefoilbarrow.protocol.HostId;

/**
 * The permits that this host has lent to others. Guarded by the lock of {@link PermitScheduler}.
 */
final class LentPermits {
  private final PermitRules rules;
  private final Map<Long, Lent> loans = new HashMap<>();
  private long nextId;

  /** A lent permit; it counts as in use until it is returned or its loan expires. */
  private static final class Lent {
    final BackendState backend;
    final HostId borrower;
    long expiresAtNanos;
    boolean recalled;

    Lent(BackendState backend, HostId borrower, long expiresAtNanos) {
      this.backend = backend;
      this.borrower = borrower;
      this.expiresAtNanos = expiresAtNanos;
    }
  }

  LentPermits(PermitRules rules, long firstId) {
    this.rules = checkNotNull(rules, "rules");
    this.nextId = firstId;
  }

  /** Lends permits of a backend server; the caller must have checked that they are free. */
  List<PermitLoan> lend(BackendState backend, HostId borrower, int count, long nowNanos) {
    ImmutableList.Builder<PermitLoan> lent = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      long id = nextId++;
      loans.put(id, new Lent(backend, borrower, expiry(nowNanos)));
      backend.addLoan();
      lent.add(new PermitLoan(id, backend.definition().id(), rules.loan().toNanos()));
    }
    return lent.build();
  }

  /** Renews the loans that are still known and returns them; the others have ended. */
  List<LoanRenewal> renew(HostId borrower, List<Long> ids, long nowNanos) {
    ImmutableList.Builder<LoanRenewal> renewed = ImmutableList.builder();
    for (long id : ids) {
      Lent loan = loans.get(id);
      if (loan == null || !loan.borrower.equals(borrower)) {
        continue;
      }
      boolean recalled = loan.recalled || loan.backend.temperature() != Temperature.WARM;
      loan.expiresAtNanos = expiry(nowNanos);
      renewed.add(new LoanRenewal(id, rules.loan().toNanos(), recalled));
    }
    return renewed.build();
  }

  /**
   * Ends returned loans. The borrower must have stopped using the permits before it returned them.
   */
  void onReturned(HostId borrower, List<Long> ids) {
    for (long id : ids) {
      Lent loan = loans.get(id);
      if (loan != null && loan.borrower.equals(borrower)) {
        loans.remove(id);
        loan.backend.removeLoan();
      }
    }
  }

  /** Ends the loans that were not renewed in time. */
  void expire(long nowNanos) {
    Iterator<Lent> open = loans.values().iterator();
    while (open.hasNext()) {
      Lent loan = open.next();
      if (loan.expiresAtNanos - nowNanos <= 0) {
        loan.backend.removeLoan();
        open.remove();
      }
    }
  }

  /** Recalls permits of a backend server until as many as needed are recalled. */
  void recall(BackendState backend, int needed) {
    long recalled = loans.values().stream().filter(l -> l.backend == backend && l.recalled).count();
    loans.values().stream()
        .filter(loan -> loan.backend == backend && !loan.recalled)
        .limit(Math.max(0, needed - recalled))
        .forEach(loan -> loan.recalled = true);
  }

  private long expiry(long nowNanos) {
    return nowNanos + rules.loan().plus(rules.loanMargin()).toNanos();
  }
}
