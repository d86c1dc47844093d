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
 * A token source that limits the rate of each organisation over all hosts together.
 *
 * <p>One thread borrows tokens from the owners of resources, as soon as a caller waits and ahead of
 * demand. Another requests delegations from the holders of shares, which is also the heartbeat.
 * Thread-safe.
 */
public final class TokenService implements TokenSource, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration LOAN_INTERVAL = Duration.ofMillis(50);
  private static final Duration MIN_LOAN_INTERVAL = Duration.ofMillis(2);
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(250);
  private static final Duration OVER_RATE_TIMEOUT = Duration.ofMillis(250);
  private static final Duration UNAVAILABLE_TIMEOUT = Duration.ofMillis(3500);

  private final HostStatus status;
  private final HostId self;
  private final MembershipView membership;
  private final ShareDelegations delegations;
  private final TokenPools pools;
  private final ConfiguredGrants grants;
  private final PeerDirectory directory;
  private final PeerServiceHandler peerServiceHandler;
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

  /** Wakes a thread before its timeout. */
  private static final class Wakeup {
    private final Semaphore signals = new Semaphore(0);

    void signal() {
      signals.release();
    }

    void await(Duration timeout) throws InterruptedException {
      if (signals.tryAcquire(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
        signals.drainPermits();
      }
    }
  }

  /**
   * Creates the service; {@link #start} starts it.
   *
   * @param status the status of this host that is sent to other hosts
   * @param permits lends permits to other hosts
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
    this.grants = new ConfiguredGrants(configuration);
    this.peerServiceHandler =
        new PeerServiceHandler(
            status,
            configuration,
            membership,
            shares,
            delegations,
            pools,
            grants,
            new PermitLoanHandler(permits),
            isLeaving,
            nanoClock);
  }

  /** Returns the handler of other hosts' messages. */
  public PeerServiceHandler peerServiceHandler() {
    return peerServiceHandler;
  }

  /** Starts to request loans and delegations. */
  public void start() {
    startThread("loans", this::runLoans);
    startThread("delegations", this::runDelegations);
  }

  @Override
  public AcquireResult acquire(OrganisationId organisation) throws InterruptedException {
    String resource = ResourceNames.ofOrganisation(organisation);
    TokenBorrowers.Borrower borrower = borrowers.get(resource);
    borrower.lock.lock();
    try {
      long startNanos = nanoClock.getAsLong();
      borrower.tokens.onDemand(startNanos);
      // Callers that already wait have priority.
      if (borrower.tokens.waiting() == 0 && borrower.tokens.tryAcquire(startNanos)) {
        TokenLog.acquired(resource, startNanos);
        requestLoansWhenLow(borrower, startNanos);
        return AcquireResult.ACQUIRED;
      }
      borrower.tokens.addWaiting(1);
      loanWakeup.signal();
      try {
        return awaitToken(resource, borrower, startNanos);
      } finally {
        borrower.tokens.addWaiting(-1);
      }
    } finally {
      borrower.lock.unlock();
    }
  }

  @Override
  public boolean tryAcquireForBatch(OrganisationId organisation) {
    TokenBorrowers.Borrower borrower = borrowers.get(ResourceNames.ofOrganisation(organisation));
    borrower.lock.lock();
    try {
      long nowNanos = nanoClock.getAsLong();
      borrower.tokens.onDemand(nowNanos);
      boolean acquired = borrower.tokens.waiting() == 0 && borrower.tokens.tryAcquire(nowNanos);
      if (acquired) {
        TokenLog.acquired(ResourceNames.ofOrganisation(organisation), nowNanos);
      }
      requestLoansWhenLow(borrower, nowNanos);
      return acquired;
    } finally {
      borrower.lock.unlock();
    }
  }

  /** Returns how often a pool held more than its capacity; must stay 0. */
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

  private AcquireResult awaitToken(
      String resource, TokenBorrowers.Borrower borrower, long startNanos)
      throws InterruptedException {
    while (true) {
      long nowNanos = nanoClock.getAsLong();
      if (borrower.tokens.tryAcquire(nowNanos)) {
        TokenLog.acquired(resource, nowNanos);
        return AcquireResult.ACQUIRED;
      }
      BorrowedTokens.ShortageReason reason = borrower.tokens.shortageReason();
      boolean overRate = reason == BorrowedTokens.ShortageReason.OVER_RATE;
      Duration timeout = overRate ? OVER_RATE_TIMEOUT : UNAVAILABLE_TIMEOUT;
      long remainingNanos = startNanos + timeout.toNanos() - nowNanos;
      if (remainingNanos <= 0) {
        return overRate ? AcquireResult.OVER_RATE : AcquireResult.UNAVAILABLE;
      }
      borrower.tokensChanged.await(
          Math.min(remainingNanos, LOAN_INTERVAL.toNanos()), TimeUnit.NANOSECONDS);
    }
  }

  private void requestLoansWhenLow(TokenBorrowers.Borrower borrower, long nowNanos) {
    if (borrower.tokens.wanted(nowNanos) > 0) {
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
        loanWakeup.await(LOAN_INTERVAL);
        requestLoans();
        Thread.sleep(MIN_LOAN_INTERVAL.toMillis());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("tokens: requesting loans failed; trying again");
      }
    }
  }

  private void runDelegations() {
    while (!closed) {
      try {
        delegationWakeup.await(HEARTBEAT_INTERVAL);
        exchangeDelegationsWithPeers();
        delegations.evictFull(grants::of, nanoClock.getAsLong());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("tokens: requesting delegations failed; trying again");
      }
    }
  }

  /** The settlements and loan requests of one message to an owner. */
  private static final class LoanBatch {
    final PeerRequestMessage message;
    final Map<String, Long> requestIds = new HashMap<>();

    LoanBatch(PeerRequestMessage message) {
      this.message = message;
    }
  }

  private void requestLoans() {
    Map<HostId, LoanBatch> batches = new HashMap<>();
    Set<HostId> candidates = ownerCandidates();
    for (Map.Entry<String, TokenBorrowers.Borrower> entry : borrowers.all().entrySet()) {
      HostId owner = Rendezvous.owner(entry.getKey(), candidates).orElse(self);
      addRequests(entry.getKey(), entry.getValue(), owner, batches);
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
            .computeIfAbsent(settlement.owner(), unused -> new LoanBatch(newMessage()))
            .message
            .addToSettlements(
                new SettlementMessage(resource, settlement.loanId(), settlement.unspent()));
      }
      int wanted = busyOwners.contains(owner) ? 0 : borrower.tokens.wanted(nowNanos);
      if (wanted > 0) {
        LoanBatch batch = batches.computeIfAbsent(owner, unused -> new LoanBatch(newMessage()));
        batch.message.addToLoans(new LoanRequestMessage(resource, wanted));
        batch.requestIds.put(resource, borrower.tokens.openRequest(nowNanos));
      }
    } finally {
      borrower.lock.unlock();
    }
  }

  private void sendLoanBatch(HostId owner, LoanBatch batch) {
    if (owner.equals(self)) {
      onLoanAnswer(owner, batch, Optional.of(peerServiceHandler.exchange(batch.message)));
      return;
    }
    boolean requestsLoans = !batch.requestIds.isEmpty();
    if (requestsLoans) {
      busyOwners.add(owner);
    }
    senders.execute(
        () -> {
          try {
            onLoanAnswer(owner, batch, directory.exchange(owner, batch.message));
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
        if (owner.equals(self) && pools.lacksShares(grant.getResource())) {
          delegationWakeup.signal();
        }
      }
    }
    for (String resource : unanswered) {
      long requestId = batch.requestIds.get(resource);
      borrowers.get(resource).update(tokens -> tokens.onNoAnswer(requestId));
    }
  }

  private void exchangeDelegationsWithPeers() {
    long nowNanos = nanoClock.getAsLong();
    Set<HostId> candidates = ownerCandidates();
    TokenPools.Activity activity =
        pools.activity(
            resource -> Rendezvous.owner(resource, candidates).orElse(self).equals(self), nowNanos);
    exchangeDelegations(self, status.incarnation(), activity);
    for (HostStatus peer : membership.peers(nowNanos)) {
      senders.execute(() -> exchangeDelegations(peer.host(), peer.incarnation(), activity));
    }
  }

  private void exchangeDelegations(
      HostId holder, long holderIncarnation, TokenPools.Activity activity) {
    PeerRequestMessage message = newMessage();
    List<String> resources = activity.active();
    addReturns(message, holder + "#" + holderIncarnation, activity);
    if (message.isSetReturns()) {
      // A later incarnation of the holder may reuse the same delegation identifiers.
      message.setReceiverIncarnation(holderIncarnation);
    }
    resources.forEach(resource -> message.addToDelegations(new DelegationRequestMessage(resource)));
    long sentAtNanos = nanoClock.getAsLong();
    Optional<PeerAnswerMessage> answer =
        holder.equals(self)
            ? Optional.of(peerServiceHandler.exchange(message))
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
              grantOf(grant));
      String holderId = holder + "#" + answer.get().getIncarnation();
      pools.onDelegation(
          grant.getResource(), holderId, delegation, sentAtNanos, nanoClock.getAsLong());
    }
  }

  private static Optional<Grant> grantOf(DelegationGrantMessage message) {
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
