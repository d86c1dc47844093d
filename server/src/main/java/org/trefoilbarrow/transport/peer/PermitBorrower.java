package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.LoanRenewal;
import org.trefoilbarrow.coordination.backend.PermitLoan;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.coordination.backend.PermitShortage;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;
import org.trefoilbarrow.transport.peer.generated.PermitRequestMessage;
import org.trefoilbarrow.transport.platform.PeriodicTask;

/**
 * Borrows permits from other hosts for online requests that wait on this host.
 *
 * <p>Requests permits from one host at a time, first from the one that lent last and then from the
 * others in turn. Thread-safe.
 */
public final class PermitBorrower implements AutoCloseable {
  private static final Duration INTERVAL = Duration.ofMillis(20);

  private final PermitScheduler scheduler;
  private final MembershipView membership;
  private final PeerDirectory directory;
  private final HostStatus self;
  private final BooleanSupplier isLeaving;
  private final Runnable onLoans;
  private final LongSupplier nanoClock;
  private final PeriodicTask task;
  private final ExecutorService senders;
  private final Set<HostId> busyLenders = ConcurrentHashMap.newKeySet();
  private final AtomicInteger nextLenderIndex = new AtomicInteger();

  /**
   * Creates a borrower; {@link #start} starts it.
   *
   * @param onLoans assigns newly borrowed permits to the requests that wait
   */
  public PermitBorrower(
      PermitScheduler scheduler,
      MembershipView membership,
      PeerDirectory directory,
      HostStatus self,
      BooleanSupplier isLeaving,
      Runnable onLoans,
      LongSupplier nanoClock) {
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.membership = checkNotNull(membership, "membership");
    this.directory = checkNotNull(directory, "directory");
    this.self = checkNotNull(self, "self");
    this.isLeaving = checkNotNull(isLeaving, "isLeaving");
    this.onLoans = checkNotNull(onLoans, "onLoans");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.task = new PeriodicTask("permit-loans", INTERVAL, this::step);
    this.senders =
        Executors.newCachedThreadPool(
            new ThreadFactoryBuilder().setNameFormat("permit-sender-%d").setDaemon(true).build());
  }

  /** Starts to borrow permits. */
  public void start() {
    task.start();
  }

  @Override
  public void close() {
    task.close();
    senders.shutdownNow();
  }

  private void step() {
    long nowNanos = nanoClock.getAsLong();
    Map<HostId, PeerRequestMessage> messages = new HashMap<>();
    scheduler
        .collectReturns(nowNanos)
        .forEach((lender, ids) -> message(messages, lender).setPermitReturns(ids));
    scheduler
        .collectRenewals(nowNanos)
        .forEach((lender, ids) -> message(messages, lender).setPermitRenewals(ids));
    List<PermitShortage> shortages = scheduler.permitShortages(nowNanos);
    if (!shortages.isEmpty()) {
      nextLender(nowNanos).ifPresent(lender -> addShortages(message(messages, lender), shortages));
    }
    messages.forEach((lender, message) -> senders.execute(() -> send(lender, message)));
  }

  private PeerRequestMessage message(Map<HostId, PeerRequestMessage> messages, HostId lender) {
    return messages.computeIfAbsent(
        lender, unused -> PeerMessages.newRequest(self, isLeaving.getAsBoolean()));
  }

  private static void addShortages(PeerRequestMessage message, List<PermitShortage> shortages) {
    for (PermitShortage shortage : shortages) {
      message.addToPermitRequests(
          new PermitRequestMessage(shortage.target().value(), shortage.wanted()));
    }
  }

  /**
   * Returns the next host to request permits from and marks it as busy, or empty if it has not
   * answered an earlier request yet.
   */
  private Optional<HostId> nextLender(long nowNanos) {
    List<HostId> peers =
        membership.livePeers(nowNanos).stream()
            .map(HostStatus::host)
            .sorted(Comparator.comparing(HostId::value))
            .toList();
    if (peers.isEmpty()) {
      return Optional.empty();
    }
    HostId lender = peers.get(Math.floorMod(nextLenderIndex.get(), peers.size()));
    return busyLenders.add(lender) ? Optional.of(lender) : Optional.empty();
  }

  private void send(HostId lender, PeerRequestMessage message) {
    boolean requestsPermits = message.isSetPermitRequests();
    try {
      long sentAtNanos = nanoClock.getAsLong();
      Optional<PeerAnswerMessage> answer = directory.exchange(lender, message);
      int lent = answer.map(received -> onAnswer(lender, received, sentAtNanos)).orElse(0);
      if (requestsPermits && lent == 0) {
        nextLenderIndex.incrementAndGet();
      }
    } finally {
      if (requestsPermits) {
        busyLenders.remove(lender);
      }
    }
  }

  /** Records the loans and renewals of an answer; returns the number of loans. */
  private int onAnswer(HostId lender, PeerAnswerMessage answer, long sentAtNanos) {
    if (answer.isSetPermitRenewals()) {
      answer
          .getPermitRenewals()
          .forEach(
              renewal ->
                  scheduler.onRenewed(
                      lender,
                      new LoanRenewal(
                          renewal.getLoanId(), renewal.getValidNanos(), renewal.isRecalled()),
                      sentAtNanos));
    }
    if (!answer.isSetPermitLoans()) {
      return 0;
    }
    List<PermitLoan> loans =
        answer.getPermitLoans().stream()
            .map(
                loan ->
                    new PermitLoan(
                        loan.getLoanId(),
                        BackendServerId.of(loan.getBackend()),
                        loan.getValidNanos()))
            .toList();
    scheduler.onLoans(lender, loans, sentAtNanos, nanoClock.getAsLong());
    onLoans.run();
    return loans.size();
  }
}
