package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.trefoilbarrow.protocol.HostId;

/**
 * The tokens of one resource that this host has borrowed from owners, and how many more to request.
 *
 * <p>Tokens are requested ahead of demand, from the recent rate of demand. Not thread-safe.
 */
public final class BorrowedTokens {
  /** The time for which borrowed tokens should cover the demand. */
  private static final long PREFETCH_NANOS = 200_000_000;

  /** The time constant of the moving average of demand. */
  private static final double DEMAND_AVERAGE_NANOS = 1e9;

  /** The time before the end of a loan at which its unspent tokens are returned. */
  private static final long RETURN_BEFORE_END_NANOS = 150_000_000;

  private static final int NO_REQUEST = 0;

  private final Deque<Loan> loans = new ArrayDeque<>();
  private final List<Settlement> settlements = new ArrayList<>();
  private long nextRequestId = 1;
  private long openRequestId = NO_REQUEST;
  private long openRequestSentNanos;
  private double demandPerNano;
  private long averagedToNanos;
  private int waiting;
  private ShortageReason shortageReason = ShortageReason.NO_ANSWER;

  /** A loan of tokens from one owner. */
  private static final class Loan {
    final HostId owner;
    final long id;
    final long usableUntilNanos;
    int remaining;

    Loan(HostId owner, long id, long usableUntilNanos, int remaining) {
      this.owner = owner;
      this.id = id;
      this.usableUntilNanos = usableUntilNanos;
      this.remaining = remaining;
    }
  }

  /** Why no token is available. */
  public enum ShortageReason {
    /** No owner has answered a request recently. */
    NO_ANSWER,
    /** The owner has no token and does not hold all shares. */
    PARTIAL_GRANT,
    /** The owner holds all shares and has no token: the organisation is over its rate. */
    OVER_RATE
  }

  /** Records that a caller needs a token. */
  public void onDemand(long nowNanos) {
    decayAverage(nowNanos);
    demandPerNano += 1 / DEMAND_AVERAGE_NANOS;
  }

  /** Acquires a borrowed token if there is one; returns false otherwise. */
  public boolean tryAcquire(long nowNanos) {
    removeExpired(nowNanos);
    Loan first =
        loans.stream().min(Comparator.comparingLong(loan -> loan.usableUntilNanos)).orElse(null);
    if (first == null) {
      return false;
    }
    first.remaining--;
    if (first.remaining == 0) {
      loans.remove(first);
      settlements.add(new Settlement(first.owner, first.id, 0));
    }
    return true;
  }

  /** Adds a change, which may be negative, to the number of callers that wait for a token. */
  public void addWaiting(int change) {
    waiting += change;
  }

  /** Returns the number of callers that wait for a token. */
  public int waiting() {
    return waiting;
  }

  /** Returns why the last request that brought no tokens did not. */
  public ShortageReason shortageReason() {
    return shortageReason;
  }

  /** Returns the number of tokens to request now; 0 if none are needed or a request is open. */
  public int wanted(long nowNanos) {
    if (openRequestId != NO_REQUEST) {
      return 0;
    }
    decayAverage(nowNanos);
    int available = available(nowNanos);
    // For a rarely used resource none are borrowed ahead: each caller waits for its own loan.
    int target = waiting + (int) Math.round(demandPerNano * PREFETCH_NANOS);
    boolean worthRequesting = waiting > 0 || available * 2 < target;
    return worthRequesting ? Math.max(0, target - available) : 0;
  }

  /** Records that a request is being sent, and returns its identifier. */
  public long openRequest(long nowNanos) {
    openRequestId = nextRequestId++;
    openRequestSentNanos = nowNanos;
    return openRequestId;
  }

  /** Records the answer to the open request; an answer to any other request is ignored. */
  public void onAnswer(long requestId, HostId owner, LoanAnswer answer, long nowNanos) {
    checkNotNull(owner, "owner");
    if (requestId != openRequestId) {
      return;
    }
    openRequestId = NO_REQUEST;
    // The loan counts from the send of the request, so that a pause of the owner before it answers
    // does not extend the loan.
    long usableUntil = openRequestSentNanos + answer.validNanos();
    if (answer.tokens() > 0 && usableUntil > nowNanos) {
      loans.addLast(new Loan(owner, answer.loanId(), usableUntil, answer.tokens()));
    }
    if (answer.tokens() == 0) {
      shortageReason =
          answer.wholeGrant() ? ShortageReason.OVER_RATE : ShortageReason.PARTIAL_GRANT;
    }
  }

  /** Records that the open request was not answered. */
  public void onNoAnswer(long requestId) {
    if (requestId == openRequestId) {
      openRequestId = NO_REQUEST;
      shortageReason = ShortageReason.NO_ANSWER;
    }
  }

  /** Returns the loans that have ended since the last call, with unspent tokens to return. */
  public List<Settlement> collectSettlements(long nowNanos) {
    Iterator<Loan> open = loans.iterator();
    while (open.hasNext()) {
      Loan loan = open.next();
      if (loan.usableUntilNanos - nowNanos < RETURN_BEFORE_END_NANOS) {
        settlements.add(new Settlement(loan.owner, loan.id, loan.remaining));
        open.remove();
      }
    }
    List<Settlement> collected = List.copyOf(settlements);
    settlements.clear();
    return collected;
  }

  /** Returns the number of borrowed tokens that can be spent. */
  public int available(long nowNanos) {
    removeExpired(nowNanos);
    return loans.stream().mapToInt(loan -> loan.remaining).sum();
  }

  private void removeExpired(long nowNanos) {
    loans.removeIf(loan -> loan.usableUntilNanos <= nowNanos);
  }

  private void decayAverage(long nowNanos) {
    long elapsed = Math.max(0, nowNanos - averagedToNanos);
    demandPerNano *= Math.exp(-elapsed / DEMAND_AVERAGE_NANOS);
    averagedToNanos = Math.max(averagedToNanos, nowNanos);
  }
}
