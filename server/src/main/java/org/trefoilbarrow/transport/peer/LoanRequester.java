package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.token.LoanAnswer;
import org.trefoilbarrow.coordination.token.Settlement;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.transport.peer.generated.LoanGrantMessage;
import org.trefoilbarrow.transport.peer.generated.LoanRequestMessage;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;
import org.trefoilbarrow.transport.peer.generated.SettlementMessage;

/** Borrows tokens from the owners of resources, and settles loans with them. Thread-safe. */
final class LoanRequester {
  private final TokenBorrowers borrowers;
  private final PeerExchange peers;
  private final Executor senders;
  private final Consumer<String> onOwnAnswer;
  private final LongSupplier nanoClock;
  private final Set<HostId> busyOwners = ConcurrentHashMap.newKeySet();

  /** The settlements and loan requests of one message to an owner. */
  private static final class LoanBatch {
    final PeerRequestMessage message;
    final Map<String, Long> requestIds = new HashMap<>();

    LoanBatch(PeerRequestMessage message) {
      this.message = message;
    }
  }

  /**
   * Creates a requester.
   *
   * @param senders runs the exchanges with other hosts
   * @param onOwnAnswer is notified of each resource that this host itself answered for
   */
  LoanRequester(
      TokenBorrowers borrowers,
      PeerExchange peers,
      Executor senders,
      Consumer<String> onOwnAnswer,
      LongSupplier nanoClock) {
    this.borrowers = checkNotNull(borrowers, "borrowers");
    this.peers = checkNotNull(peers, "peers");
    this.senders = checkNotNull(senders, "senders");
    this.onOwnAnswer = checkNotNull(onOwnAnswer, "onOwnAnswer");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Sends the open settlements, and requests the tokens that callers want. */
  void requestLoans() {
    Map<HostId, LoanBatch> batches = new HashMap<>();
    Set<HostId> candidates = peers.ownerCandidates();
    for (Map.Entry<String, TokenBorrowers.Borrower> entry : borrowers.all().entrySet()) {
      HostId owner = peers.owner(entry.getKey(), candidates);
      addRequests(entry.getKey(), entry.getValue(), owner, batches);
    }
    batches.forEach(this::sendLoanBatch);
  }

  private void addRequests(
      String resource,
      TokenBorrowers.Borrower borrower,
      HostId owner,
      Map<HostId, LoanBatch> batches) {
    borrower.lock.lock();
    try {
      long nowNanos = nanoClock.getAsLong();
      for (Settlement settlement : borrower.tokens.collectSettlements(nowNanos)) {
        batches
            .computeIfAbsent(settlement.owner(), unused -> new LoanBatch(peers.newMessage()))
            .message
            .addToSettlements(
                new SettlementMessage(resource, settlement.loanId(), settlement.unspent()));
      }
      int wanted = busyOwners.contains(owner) ? 0 : borrower.tokens.wanted(nowNanos);
      if (wanted > 0) {
        LoanBatch batch =
            batches.computeIfAbsent(owner, unused -> new LoanBatch(peers.newMessage()));
        batch.message.addToLoans(new LoanRequestMessage(resource, wanted));
        batch.requestIds.put(resource, borrower.tokens.openRequest(nowNanos));
      }
    } finally {
      borrower.lock.unlock();
    }
  }

  private void sendLoanBatch(HostId owner, LoanBatch batch) {
    if (peers.isSelf(owner)) {
      onLoanAnswer(owner, batch, peers.exchange(owner, batch.message));
      return;
    }
    boolean requestsLoans = !batch.requestIds.isEmpty();
    if (requestsLoans) {
      busyOwners.add(owner);
    }
    senders.execute(
        () -> {
          try {
            onLoanAnswer(owner, batch, peers.exchange(owner, batch.message));
          } finally {
            if (requestsLoans) {
              busyOwners.remove(owner);
            }
          }
        });
  }

  private void onLoanAnswer(HostId owner, LoanBatch batch, Optional<PeerAnswerMessage> answer) {
    Set<String> unanswered = new HashSet<>(batch.requestIds.keySet());
    if (answer.isPresent()) {
      for (LoanGrantMessage grant : answer.get().getLoans()) {
        if (!unanswered.remove(grant.getResource())) {
          continue;
        }
        LoanAnswer loan =
            new LoanAnswer(
                grant.getLoanId(), grant.getTokens(), grant.getValidNanos(), grant.isWholeGrant());
        long requestId = batch.requestIds.get(grant.getResource());
        long nowNanos = nanoClock.getAsLong();
        borrowers
            .get(grant.getResource())
            .update(tokens -> tokens.onAnswer(requestId, owner, loan, nowNanos));
        if (peers.isSelf(owner)) {
          onOwnAnswer.accept(grant.getResource());
        }
      }
    }
    for (String resource : unanswered) {
      long requestId = batch.requestIds.get(resource);
      borrowers.get(resource).update(tokens -> tokens.onNoAnswer(requestId));
    }
  }
}
