package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.coordination.backend.LoanRenewal;
import org.trefoilbarrow.coordination.backend.PermitLoan;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.RouteTarget;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;
import org.trefoilbarrow.transport.peer.generated.PermitLoanMessage;
import org.trefoilbarrow.transport.peer.generated.PermitRenewalMessage;
import org.trefoilbarrow.transport.peer.generated.PermitRequestMessage;

/** Lends this host's permits to other hosts, and renews and ends these loans. Thread-safe. */
final class PermitLoanHandler {
  private final PermitScheduler scheduler;

  PermitLoanHandler(PermitScheduler scheduler) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
  }

  /** Handles the permit part of a message. Returns come first, since they free permits. */
  void answer(PeerRequestMessage request, PeerAnswerMessage answer, long nowNanos) {
    HostId borrower = HostId.of(request.getSender());
    if (request.isSetPermitReturns()) {
      scheduler.onPermitsReturned(borrower, request.getPermitReturns());
    }
    if (request.isSetPermitRenewals()) {
      for (LoanRenewal renewal :
          scheduler.renewLoans(borrower, request.getPermitRenewals(), nowNanos)) {
        answer.addToPermitRenewals(
            new PermitRenewalMessage(renewal.id(), renewal.validNanos(), renewal.recalled()));
      }
    }
    if (request.isSetPermitRequests()) {
      request.getPermitRequests().forEach(wanted -> lend(borrower, wanted, answer, nowNanos));
    }
  }

  private void lend(
      HostId borrower, PermitRequestMessage wanted, PeerAnswerMessage answer, long nowNanos) {
    RouteTarget target = RouteTarget.of(wanted.getTarget());
    for (PermitLoan loan : scheduler.lend(borrower, target, wanted.getWanted(), nowNanos)) {
      answer.addToPermitLoans(
          new PermitLoanMessage(loan.id(), loan.backend().value(), loan.validNanos()));
    }
  }
}
