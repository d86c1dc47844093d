package org.trefoilbarrow.coordination.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.trefoilbarrow.protocol.HostId;

/** The permits that this host has lent. Guarded by the lock of {@link PermitScheduler}. */
final class LentPermits {
  private final PermitRules rules;
  private final Map<Long, Lent> loans = new HashMap<>();
  private long nextId;

  /** A permit on loan; it counts as in use until it is given back or has lapsed. */
  private static final class Lent {
    final BackendState backend;
    final HostId borrower;
    long lapsesAtNanos;
    boolean recalled;

    Lent(BackendState backend, HostId borrower, long lapsesAtNanos) {
      this.backend = backend;
      this.borrower = borrower;
      this.lapsesAtNanos = lapsesAtNanos;
    }
  }

  LentPermits(PermitRules rules, long firstId) {
    this.rules = checkNotNull(rules, "rules");
    this.nextId = firstId;
  }

  /** Lends permits of a backend server; the caller has checked that they are free. */
  List<PermitLoan> lend(BackendState backend, HostId borrower, int count, long nowNanos) {
    ImmutableList.Builder<PermitLoan> lent = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      long id = nextId++;
      loans.put(id, new Lent(backend, borrower, lapse(nowNanos)));
      backend.beginLoan();
      lent.add(new PermitLoan(id, backend.definition().id(), rules.loan().toNanos()));
    }
    return lent.build();
  }

  /** Extends the loans that are still known; one that is not answered ends by itself. */
  List<LoanRenewal> renew(HostId borrower, List<Long> ids, long nowNanos) {
    ImmutableList.Builder<LoanRenewal> renewed = ImmutableList.builder();
    for (long id : ids) {
      Lent loan = loans.get(id);
      if (loan == null || !loan.borrower.equals(borrower)) {
        continue;
      }
      boolean recalled = loan.recalled || loan.backend.temperature() != Temperature.WARM;
      loan.lapsesAtNanos = lapse(nowNanos);
      renewed.add(new LoanRenewal(id, rules.loan().toNanos(), recalled));
    }
    return renewed.build();
  }

  /** Takes permits back. The borrower must have stopped using them before it sent the message. */
  void giveBack(HostId borrower, List<Long> ids) {
    for (long id : ids) {
      Lent loan = loans.get(id);
      if (loan != null && loan.borrower.equals(borrower)) {
        loans.remove(id);
        loan.backend.endLoan();
      }
    }
  }

  /** Ends the loans that were not renewed in time. */
  void expire(long nowNanos) {
    Iterator<Lent> open = loans.values().iterator();
    while (open.hasNext()) {
      Lent loan = open.next();
      if (loan.lapsesAtNanos - nowNanos <= 0) {
        loan.backend.endLoan();
        open.remove();
      }
    }
  }

  /** Asks for permits of a backend server back, at most as many as are needed. */
  void recall(BackendState backend, int needed) {
    long recalled = loans.values().stream().filter(l -> l.backend == backend && l.recalled).count();
    loans.values().stream()
        .filter(loan -> loan.backend == backend && !loan.recalled)
        .limit(Math.max(0, needed - recalled))
        .forEach(loan -> loan.recalled = true);
  }

  private long lapse(long nowNanos) {
    return nowNanos + rules.loan().plus(rules.loanMargin()).toNanos();
  }
}
