package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.coordination.token.BorrowedTokens;
import org.trefoilbarrow.coordination.token.ShareDelegations;
import org.trefoilbarrow.coordination.token.TokenRules;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.state.ConfigurationTable;

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

  private final ShareDelegations delegations;
  private final TokenPools pools;
  private final ConfiguredGrants grants;
  private final PeerServiceHandler peerServiceHandler;
  private final LoanRequester loanRequester;
  private final DelegationRequester delegationRequester;
  private final LongSupplier nanoClock;
  private final TokenBorrowers borrowers = new TokenBorrowers();
  private final Wakeup loanWakeup = new Wakeup();
  private final Wakeup delegationWakeup = new Wakeup();
  private final ExecutorService senders =
      Executors.newCachedThreadPool(
          new ThreadFactoryBuilder().setNameFormat("peer-sender-%d").setDaemon(true).build());
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
    PeerExchange peers =
        new PeerExchange(status, membership, directory, peerServiceHandler, isLeaving, nanoClock);
    this.loanRequester =
        new LoanRequester(borrowers, peers, senders, this::onOwnLoanAnswer, nanoClock);
    this.delegationRequester =
        new DelegationRequester(pools, membership, peers, senders, nanoClock);
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

  private void onOwnLoanAnswer(String resource) {
    if (pools.lacksShares(resource)) {
      delegationWakeup.signal();
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
        loanRequester.requestLoans();
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
        delegationRequester.requestDelegations();
        delegations.evictFull(grants::of, nanoClock.getAsLong());
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("tokens: requesting delegations failed; trying again");
      }
    }
  }
}
