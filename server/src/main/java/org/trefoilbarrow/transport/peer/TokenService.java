package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.coordination.token.BorrowedTokens;
import org.trefoilbarrow.coordination.token.DelegationAnswer;
import org.trefoilbarrow.coordination.token.Grant;
import org.trefoilbarrow.coordination.token.LoanAnswer;
import org.trefoilbarrow.coordination.token.Settlement;
import org.trefoilbarrow.coordination.token.ShareDelegations;
import org.trefoilbarrow.coordination.token.TokenRules;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.transport.peer.generated.DelegationGrantMessage;
import org.trefoilbarrow.transport.peer.generated.DelegationRequestMessage;
import org.trefoilbarrow.transport.peer.generated.DelegationReturnMessage;
import org.trefoilbarrow.transport.peer.generated.LoanGrantMessage;
import org.trefoilbarrow.transport.peer.generated.LoanRequestMessage;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;
import org.trefoilbarrow.transport.peer.generated.SettlementMessage;

/**
 * Gives callers the tokens of their organisations, over all hosts together.
 *
 * <p>One thread asks owners for loans, as soon as a caller waits and ahead of demand; another asks
 * share holders for delegations and serves as the heartbeat. Thread-safe.
 */
public final class TokenService implements TokenSource, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration LOAN_TICK = Duration.ofMillis(50);
  private static final Duration MIN_LOAN_PAUSE = Duration.ofMillis(2);
  private static final Duration HEARTBEAT = Duration.ofMillis(250);
  private static final Duration OVER_RATE_WAIT = Duration.ofMillis(250);
  private static final Duration UNAVAILABLE_WAIT = Duration.ofMillis(3500);

  private final HostStatus status;
  private final HostId self;
  private final MembershipView membership;
  private final ShareDelegations delegations;
  private final TokenPools pools;
  private final Grants grants;
  private final PeerDirectory directory;
  private final PeerServiceHandler exchange;
  private final BooleanSupplier isLeaving;
  private final LongSupplier nanoClock;
  private final TokenBorrowers borrowers = new TokenBorrowers();
  private final Wakeup loanWakeup = new Wakeup();
  private final Wakeup delegationWakeup = new Wakeup();
  private final ExecutorService senders =
      Executors.newCachedThreadPool(
          new ThreadFactoryBuilder().setNameFormat("peer-sender-%d").setDaemon(true).build());
  private final Set<HostId> busyOwners = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /** Wakes a thread before its next tick. */
  private static final class Wakeup {
    private final Semaphore signals = new Semaphore(0);

    void signal() {
      signals.release();
    }

    void await(Duration time) throws InterruptedException {
      if (signals.tryAcquire(time.toMillis(), TimeUnit.MILLISECONDS)) {
        signals.drainPermits();
      }
    }
  }

  /**
   * Creates the service; {@link #start} begins its work.
   *
   * @param status this host as other hosts are told of it
   * @param permits the permits that the answers to other hosts lend from
   */
  public TokenService(
      TokenRules rules,
      HostStatus status,
      ConfigurationTable configuration,
      MembershipView membership,
      ShareLeases shares,
      PermitScheduler permits,
      PeerDirectory directory,
      BooleanSupplier isLeaving,
      LongSupplier nanoClock) {
    this.status = checkNotNull(status, "status");
    this.self = status.host();
    this.membership = checkNotNull(membership, "membership");
    this.directory = checkNotNull(directory, "directory");
    this.isLeaving = checkNotNull(isLeaving, "isLeaving");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.delegations = new ShareDelegations(rules);
    this.pools = new TokenPools(rules, status.incarnation());
    this.grants = new Grants(configuration);
    this.exchange =
        new PeerServiceHandler(
            status,
            configuration,
            membership,
            shares,
            delegations,
            pools,
            grants,
            new PermitLending(permits),
            isLeaving,
            nanoClock);
  }

  /** Returns the part that answers other hosts. */
  public PeerServiceHandler peerServiceHandler() {
    return exchange;
  }

  /** Begins to ask for loans and delegations. */
  public void start() {
    startThread("loans", this::runLoans);
    startThread("delegations", this::runDelegations);
  }

  @Override
  public AcquireResult acquire(OrganisationId organisation) throws InterruptedException {
    String resource = Resources.ofOrganisation(organisation);
    TokenBorrowers.Borrower borrower = borrowers.get(resource);
    borrower.lock.lock();
    try {
      long start = nanoClock.getAsLong();
      borrower.book.onDemand(start);
      // Whoever waits already goes first.
      if (borrower.book.waiting() == 0 && borrower.book.tryAcquire(start)) {
        TokenLog.taken(resource, start);
        wakeWhenLow(borrower, start);
        return AcquireResult.ACQUIRED;
      }
      borrower.book.addWaiting(1);
      loanWakeup.signal();
      try {
        return awaitToken(resource, borrower, start);
      } finally {
        borrower.book.addWaiting(-1);
      }
    } finally {
      borrower.lock.unlock();
    }
  }

  @Override
  public boolean tryAcquireForBatch(OrganisationId organisation) {
    TokenBorrowers.Borrower borrower = borrowers.get(Resources.ofOrganisation(organisation));
    borrower.lock.lock();
    try {
      long now = nanoClock.getAsLong();
      borrower.book.onDemand(now);
      boolean taken = borrower.book.waiting() == 0 && borrower.book.tryAcquire(now);
      if (taken) {
        TokenLog.taken(Resources.ofOrganisation(organisation), now);
      }
      wakeWhenLow(borrower, now);
      return taken;
    } finally {
      borrower.lock.unlock();
    }
  }

  /** Returns how often a pool held more than its capacity. It must stay 0. */
  public long boundViolations() {
    return pools.boundViolations();
  }

  /** Returns the number of resources that this host owns now. */
  public int ownedResources() {
    return pools.size();
  }

  @Override
  public void close() {
    closed = true;
    loanWakeup.signal();
    delegationWakeup.signal();
    senders.shutdownNow();
  }

  private AcquireResult awaitToken(String resource, TokenBorrowers.Borrower borrower, long start)
      throws InterruptedException {
    while (true) {
      long now = nanoClock.getAsLong();
      if (borrower.book.tryAcquire(now)) {
        TokenLog.taken(resource, now);
        return AcquireResult.ACQUIRED;
      }
      BorrowedTokens.ShortageReason reason = borrower.book.shortageReason();
      boolean overRate = reason == BorrowedTokens.ShortageReason.OVER_RATE;
      Duration longest = overRate ? OVER_RATE_WAIT : UNAVAILABLE_WAIT;
      long left = start + longest.toNanos() - now;
      if (left <= 0) {
        return overRate ? AcquireResult.OVER_RATE : AcquireResult.UNAVAILABLE;
      }
      borrower.changed.await(Math.min(left, LOAN_TICK.toNanos()), TimeUnit.NANOSECONDS);
    }
  }

  private void wakeWhenLow(TokenBorrowers.Borrower borrower, long nowNanos) {
    if (borrower.book.wanted(nowNanos) > 0) {
      loanWakeup.signal();
    }
  }

  private void startThread(String name, Runnable loop) {
    Thread thread = new Thread(loop, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void runLoans() {
    while (!closed) {
      try {
        loanWakeup.await(LOAN_TICK);
        askForLoans();
        Thread.sleep(MIN_LOAN_PAUSE.toMillis());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("tokens: asking for loans failed");
      }
    }
  }

  private void runDelegations() {
    while (!closed) {
      try {
        delegationWakeup.await(HEARTBEAT);
        exchangeWithPeers();
        delegations.evictFull(grants::of, nanoClock.getAsLong());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("tokens: asking for delegations failed");
      }
    }
  }

  /** What one message asks of an owner. */
  private static final class LoanBatch {
    final PeerRequestMessage message;
    final Map<String, Long> requestIds = new HashMap<>();

    LoanBatch(PeerRequestMessage message) {
      this.message = message;
    }
  }

  private void askForLoans() {
    Map<HostId, LoanBatch> batches = new HashMap<>();
    Set<HostId> candidates = ownerCandidates();
    for (Map.Entry<String, TokenBorrowers.Borrower> entry : borrowers.all().entrySet()) {
      HostId owner = Rendezvous.owner(entry.getKey(), candidates).orElse(self);
      collect(entry.getKey(), entry.getValue(), owner, batches);
    }
    batches.forEach(this::sendLoanBatch);
  }

  private Set<HostId> ownerCandidates() {
    Set<HostId> candidates = new HashSet<>();
    for (HostStatus status : membership.livePeers(nanoClock.getAsLong())) {
      candidates.add(status.host());
    }
    if (!isLeaving.getAsBoolean() || candidates.isEmpty()) {
      candidates.add(self);
    }
    return candidates;
  }

  private void collect(
      String resource,
      TokenBorrowers.Borrower borrower,
      HostId owner,
      Map<HostId, LoanBatch> batches) {
    borrower.lock.lock();
    try {
      long now = nanoClock.getAsLong();
      for (Settlement settlement : borrower.book.collectSettlements(now)) {
        batches
            .computeIfAbsent(settlement.owner(), unused -> new LoanBatch(newMessage()))
            .message
            .addToSettlements(
                new SettlementMessage(resource, settlement.loanId(), settlement.unspent()));
      }
      int wanted = busyOwners.contains(owner) ? 0 : borrower.book.wanted(now);
      if (wanted > 0) {
        LoanBatch batch = batches.computeIfAbsent(owner, unused -> new LoanBatch(newMessage()));
        batch.message.addToLoans(new LoanRequestMessage(resource, wanted));
        batch.requestIds.put(resource, borrower.book.openRequest(now));
      }
    } finally {
      borrower.lock.unlock();
    }
  }

  private void sendLoanBatch(HostId owner, LoanBatch batch) {
    if (owner.equals(self)) {
      onLoanAnswer(owner, batch, Optional.of(exchange.exchange(batch.message)));
      return;
    }
    boolean asks = !batch.requestIds.isEmpty();
    if (asks) {
      busyOwners.add(owner);
    }
    senders.execute(
        () -> {
          try {
            onLoanAnswer(owner, batch, directory.exchange(owner, batch.message));
          } finally {
            if (asks) {
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
        long now = nanoClock.getAsLong();
        borrowers
            .get(grant.getResource())
            .update(book -> book.onAnswer(requestId, owner, loan, now));
        if (owner.equals(self) && pools.lacksShares(grant.getResource())) {
          delegationWakeup.signal();
        }
      }
    }
    for (String resource : unanswered) {
      long requestId = batch.requestIds.get(resource);
      borrowers.get(resource).update(book -> book.onNoAnswer(requestId));
    }
  }

  private void exchangeWithPeers() {
    long now = nanoClock.getAsLong();
    Set<HostId> candidates = ownerCandidates();
    TokenPools.Activity activity =
        pools.activity(
            resource -> Rendezvous.owner(resource, candidates).orElse(self).equals(self), now);
    exchangeDelegations(self, status.incarnation(), activity);
    for (HostStatus peer : membership.peers(now)) {
      senders.execute(() -> exchangeDelegations(peer.host(), peer.incarnation(), activity));
    }
  }

  private void exchangeDelegations(
      HostId holder, long holderIncarnation, TokenPools.Activity activity) {
    PeerRequestMessage message = newMessage();
    List<String> resources = activity.active();
    addReturns(message, holder + "#" + holderIncarnation, activity);
    if (message.isSetReturns()) {
      // A later incarnation of the holder may use the same identifiers again.
      message.setReceiverIncarnation(holderIncarnation);
    }
    resources.forEach(resource -> message.addToDelegations(new DelegationRequestMessage(resource)));
    long sentAt = nanoClock.getAsLong();
    Optional<PeerAnswerMessage> answer =
        holder.equals(self)
            ? Optional.of(exchange.exchange(message))
            : directory.exchange(holder, message);
    if (answer.isEmpty()) {
      return;
    }
    for (DelegationGrantMessage grant : answer.get().getDelegations()) {
      DelegationAnswer delegation =
          new DelegationAnswer(
              grant.getDelegationId(),
              new HashSet<>(grant.getShares()),
              grant.getTokens(),
              grant.getValidNanos(),
              knownGrant(grant));
      String holderId = holder + "#" + answer.get().getIncarnation();
      pools.onDelegation(grant.getResource(), holderId, delegation, sentAt, nanoClock.getAsLong());
    }
  }

  private static Optional<Grant> knownGrant(DelegationGrantMessage message) {
    if (!message.isSetGrantVersion()) {
      return Optional.empty();
    }
    return Optional.of(
        new Grant(message.getTokensPerSecond(), message.getBurst(), message.getGrantVersion()));
  }

  private static void addReturns(
      PeerRequestMessage message, String holderId, TokenPools.Activity activity) {
    activity
        .returnedByResource()
        .forEach(
            (resource, returned) ->
                returned.stream()
                    .filter(shares -> shares.holder().equals(holderId))
                    .forEach(
                        shares ->
                            message.addToReturns(
                                new DelegationReturnMessage(
                                    resource, shares.delegationId(), shares.tokens()))));
  }

  private PeerRequestMessage newMessage() {
    return PeerMessages.newRequest(status, isLeaving.getAsBoolean());
  }
}
