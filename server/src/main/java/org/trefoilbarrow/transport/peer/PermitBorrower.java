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
 * Borrows permits of other hosts for online requests that wait here.
 *
 * <p>One host is asked at a time, the one that lent last first and then the others in turn.
 * Thread-safe.
 */
public final class PermitBorrower implements AutoCloseable {
  private static final Duration TICK = Duration.ofMillis(20);

  private final PermitScheduler scheduler;
  private final MembershipView membership;
  private final PeerDirectory directory;
  private final HostStatus self;
  private final BooleanSupplier isLeaving;
  private final Runnable onLoans;
  private final LongSupplier nanoClock;
  private final PeriodicTask task;
  private final ExecutorService senders;
  private final Set<HostId> busy = ConcurrentHashMap.newKeySet();
  private final AtomicInteger turn = new AtomicInteger();

  /**
   * Creates a borrower; {@link #start} begins its work.
   *
   * @param onLoans gives borrowed permits to the requests that wait
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
    this.task = new PeriodicTask("permit-loans", TICK, this::step);
    this.senders =
        Executors.newCachedThreadPool(
            new ThreadFactoryBuilder().setNameFormat("permit-sender-%d").setDaemon(true).build());
  }

  /** Begins to ask for loans. */
  public void start() {
    task.start();
  }

  @Override
  public void close() {
    task.close();
    senders.shutdownNow();
  }

  private void step() {
    long now = nanoClock.getAsLong();
    Map<HostId, PeerRequestMessage> messages = new HashMap<>();
    scheduler
        .collectReturns(now)
        .forEach((lender, ids) -> message(messages, lender).setPermitReturns(ids));
    scheduler
        .collectRenewals(now)
        .forEach((lender, ids) -> message(messages, lender).setPermitRenewals(ids));
    List<PermitShortage> needs = scheduler.permitShortages(now);
    if (!needs.isEmpty()) {
      nextLender(now).ifPresent(lender -> addNeeds(message(messages, lender), needs));
    }
    messages.forEach((lender, message) -> senders.execute(() -> send(lender, message)));
  }

  private PeerRequestMessage message(Map<HostId, PeerRequestMessage> messages, HostId lender) {
    return messages.computeIfAbsent(
        lender, unused -> PeerMessages.newRequest(self, isLeaving.getAsBoolean()));
  }

  private static void addNeeds(PeerRequestMessage message, List<PermitShortage> needs) {
    for (PermitShortage need : needs) {
      message.addToPermitRequests(new PermitRequestMessage(need.target().value(), need.wanted()));
    }
  }

  /** Returns the host to ask next, unless its answer to an earlier question is still open. */
  private Optional<HostId> nextLender(long nowNanos) {
    List<HostId> peers =
        membership.livePeers(nowNanos).stream()
            .map(HostStatus::host)
            .sorted(Comparator.comparing(HostId::value))
            .toList();
    if (peers.isEmpty()) {
      return Optional.empty();
    }
    HostId lender = peers.get(Math.floorMod(turn.get(), peers.size()));
    return busy.add(lender) ? Optional.of(lender) : Optional.empty();
  }

  private void send(HostId lender, PeerRequestMessage message) {
    boolean asks = message.isSetPermitRequests();
    try {
      long sentAt = nanoClock.getAsLong();
      Optional<PeerAnswerMessage> answer = directory.exchange(lender, message);
      int lent = answer.map(given -> onAnswer(lender, given, sentAt)).orElse(0);
      if (asks && lent == 0) {
        turn.incrementAndGet();
      }
    } finally {
      if (asks) {
        busy.remove(lender);
      }
    }
  }

  /** Takes over the loans and renewals of an answer; returns the number of loans. */
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
