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
 * A borrowing host's part for one resource: tokens on loan, and how many more to ask for.
 *
 * <p>Tokens are asked for ahead of demand, by the recent rate of takes. Not thread-safe.
 */
public final class BorrowedTokens {
  /** The time for which tokens are held in stock, in nanoseconds. */
  private static final long STOCK_NANOS = 200_000_000;

  /** The time over which the rate of takes is averaged, in nanoseconds. */
  private static final double AVERAGE_NANOS = 1e9;

  /** Before its end a loan's unspent tokens go back after this time, in nanoseconds. */
  private static final long RETURN_NANOS = 150_000_000;

  private static final int NO_REQUEST = 0;

  private final Deque<Loan> loans = new ArrayDeque<>();
  private final List<Settlement> settlements = new ArrayList<>();
  private long nextRequestId = 1;
  private long openRequestId = NO_REQUEST;
  private long openRequestSentNanos;
  private double takesPerNano;
  private long averagedToNanos;
  private int waiting;
  private ShortageReason shortageReason = ShortageReason.NO_ANSWER;

  /** Tokens on loan. */
  private static final class Loan {
    final HostId owner;
    final long id;
    final long usableUntilNanos;
    int left;

    Loan(HostId owner, long id, long usableUntilNanos, int left) {
      this.owner = owner;
      this.id = id;
      this.usableUntilNanos = usableUntilNanos;
      this.left = left;
    }
  }

  /** Why there is no token. */
  public enum ShortageReason {
    /** No owner has answered lately. */
    NO_ANSWER,
    /** The owner has none, and does not have all shares. */
    PARTIAL_GRANT,
    /** The owner has all shares and no token: the organisation is over its rate. */
    OVER_RATE
  }

  /** Records that a caller wants a token. */
  public void onDemand(long nowNanos) {
    decayAverage(nowNanos);
    takesPerNano += 1 / AVERAGE_NANOS;
  }

  /** Takes a token if one is on loan. */
  public boolean tryAcquire(long nowNanos) {
    dropLapsed(nowNanos);
    Loan first =
        loans.stream().min(Comparator.comparingLong(loan -> loan.usableUntilNanos)).orElse(null);
    if (first == null) {
      return false;
    }
    first.left--;
    if (first.left == 0) {
      loans.remove(first);
      settlements.add(new Settlement(first.owner, first.id, 0));
    }
    return true;
  }

  /** Records that callers began or ended to wait for a token. */
  public void addWaiting(int change) {
    waiting += change;
  }

  /** Returns how many callers wait for a token. */
  public int waiting() {
    return waiting;
  }

  /** Returns why the last request for tokens brought none. */
  public ShortageReason shortageReason() {
    return shortageReason;
  }

  /** Returns how many tokens to ask for now; 0 when none are needed or a request is open. */
  public int wanted(long nowNanos) {
    if (openRequestId != NO_REQUEST) {
      return 0;
    }
    decayAverage(nowNanos);
    int stock = available(nowNanos);
    // A resource that is used rarely keeps no stock: its callers wait for a loan of their own.
    int target = waiting + (int) Math.round(takesPerNano * STOCK_NANOS);
    boolean worthAsking = waiting > 0 || stock * 2 < target;
    return worthAsking ? Math.max(0, target - stock) : 0;
  }

  /** Records that a request is sent, and returns its identifier. */
  public long openRequest(long nowNanos) {
    openRequestId = nextRequestId++;
    openRequestSentNanos = nowNanos;
    return openRequestId;
  }

  /** Records the answer to the open request; any other answer is ignored. */
  public void onAnswer(long requestId, HostId owner, LoanAnswer answer, long nowNanos) {
    checkNotNull(owner, "owner");
    if (requestId != openRequestId) {
      return;
    }
    openRequestId = NO_REQUEST;
    // The loan counts from the send, so that an owner paused before its answer lends no longer.
    long usableUntil = openRequestSentNanos + answer.validNanos();
    if (answer.tokens() > 0 && usableUntil > nowNanos) {
      loans.addLast(new Loan(owner, answer.loanId(), usableUntil, answer.tokens()));
    }
    if (answer.tokens() == 0) {
      shortageReason =
          answer.wholeGrant() ? ShortageReason.OVER_RATE : ShortageReason.PARTIAL_GRANT;
    }
  }

  /** Records that the open request has no answer. */
  public void onNoAnswer(long requestId) {
    if (requestId == openRequestId) {
      openRequestId = NO_REQUEST;
      shortageReason = ShortageReason.NO_ANSWER;
    }
  }

  /** Returns the loans that have ended since the last call, and tokens that will not be needed. */
  public List<Settlement> collectSettlements(long nowNanos) {
    Iterator<Loan> open = loans.iterator();
    while (open.hasNext()) {
      Loan loan = open.next();
      if (loan.usableUntilNanos - nowNanos < RETURN_NANOS) {
        settlements.add(new Settlement(loan.owner, loan.id, loan.left));
        open.remove();
      }
    }
    List<Settlement> taken = List.copyOf(settlements);
    settlements.clear();
    return taken;
  }

  /** Returns the number of tokens on loan. */
  public int available(long nowNanos) {
    dropLapsed(nowNanos);
    return loans.stream().mapToInt(loan -> loan.left).sum();
  }

  private void dropLapsed(long nowNanos) {
    loans.removeIf(loan -> loan.usableUntilNanos <= nowNanos);
  }

  private void decayAverage(long nowNanos) {
    long elapsed = Math.max(0, nowNanos - averagedToNanos);
    takesPerNano *= Math.exp(-elapsed / AVERAGE_NANOS);
    averagedToNanos = Math.max(averagedToNanos, nowNanos);
  }
}
