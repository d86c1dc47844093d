package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The tokens of one resource at its owner: the shares delegated to it, the tokens they have
 * accrued, and the tokens lent to hosts.
 *
 * <p>The tokens held plus the tokens lent never exceed the capacity of the delegated shares. A loan
 * that is neither settled nor expired counts as lent in full. Not thread-safe.
 */
public final class TokenPool {
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final TokenRules rules;
  private final Map<String, Delegated> delegations = new HashMap<>();
  private final Map<Long, Loan> loans = new HashMap<>();
  private final Deque<Loan> loansByExpiry = new ArrayDeque<>();
  private Grant grant;
  private double level;
  private int lent;
  private long advancedToNanos;
  private long nextLoanId;
  private long boundCheckedFromNanos;
  private long boundViolations;

  /** The shares that one holder delegated. */
  private record Delegated(
      long delegationId, Set<Integer> shares, long sentAtNanos, long untilNanos) {}

  /**
   * Shares to return to their holder.
   *
   * @param holder the holder
   * @param delegationId identifies the holder's answer that delegated the shares
   * @param tokens the unspent tokens of the shares
   */
  public record ReturnedShares(String holder, long delegationId, double tokens) {}

  /** A loan of tokens to a host. */
  private record Loan(long id, int tokens, long expiresAtNanos) {}

  /** Creates a pool without shares. */
  public TokenPool(TokenRules rules, Grant grant, long firstLoanId, long nowNanos) {
    this.rules = checkNotNull(rules, "rules");
    this.grant = checkNotNull(grant, "grant");
    this.nextLoanId = firstLoanId;
    this.advancedToNanos = nowNanos;
  }

  /** Sets a newer grant; an older one is ignored. */
  public void setGrant(Grant newGrant, long nowNanos) {
    advance(nowNanos);
    if (newGrant.version() > grant.version()) {
      grant = newGrant;
      suspendBoundCheck(nowNanos);
      clampLevel();
    }
  }

  /**
   * Adds the shares that a holder delegated, or extends their delegation.
   *
   * @param sentAtNanos when the request was sent, by this host's clock
   */
  public void onDelegation(
      String holder, DelegationAnswer answer, long sentAtNanos, long nowNanos) {
    advance(nowNanos);
    // An owner that was paused may not yet know that the grant was lowered.
    answer.grant().ifPresent(newest -> setGrant(newest, nowNanos));
    Delegated known = delegations.get(holder);
    if (known != null && sentAtNanos <= known.sentAtNanos()) {
      return;
    }
    long until = sentAtNanos + answer.validNanos();
    if (answer.shares().isEmpty() || until <= nowNanos) {
      return;
    }
    delegations.put(
        holder, new Delegated(answer.delegationId(), answer.shares(), sentAtNanos, until));
    if (known != null && isLess(answer.shares(), until, known)) {
      suspendBoundCheck(nowNanos);
    }
    level += answer.tokens();
    clampLevel();
    if (hasDuplicateShare()) {
      boundViolations++;
    }
  }

  /**
   * Lends tokens; the loan counts from the borrower's send of its request.
   *
   * @param wanted the number of tokens that the borrower requests
   */
  public LoanAnswer lend(int wanted, long nowNanos) {
    checkArgument(wanted >= 0, "wanted must not be negative: %s", wanted);
    advance(nowNanos);
    long marginNanos = rules.margin().toNanos();
    long validNanos = Math.min(rules.loan().toNanos(), shortestDelegation(nowNanos) - marginNanos);
    int tokens = validNanos <= 0 ? 0 : Math.min(wanted, (int) Math.floor(level));
    boolean wholeGrant = shareCount() == rules.shareCount();
    if (tokens == 0) {
      return new LoanAnswer(0, 0, 0, wholeGrant);
    }
    long id = nextLoanId++;
    level -= tokens;
    lent += tokens;
    Loan loan = new Loan(id, tokens, nowNanos + validNanos + marginNanos);
    loans.put(id, loan);
    loansByExpiry.addLast(loan);
    return new LoanAnswer(id, tokens, validNanos, wholeGrant);
  }

  /**
   * Ends a loan early. The borrower must have stopped spending it before it sent the settlement.
   *
   * @param unspent the number of tokens returned
   */
  public void settle(long loanId, int unspent, long nowNanos) {
    advance(nowNanos);
    Loan loan = loans.remove(loanId);
    if (loan == null) {
      return;
    }
    checkArgument(
        unspent >= 0 && unspent <= loan.tokens(),
        "loan %s of %s tokens cannot return %s",
        loanId,
        loan.tokens(),
        unspent);
    lent -= loan.tokens();
    level += unspent;
    clampLevel();
  }

  /**
   * Returns all shares with the tokens held, or none while tokens are lent. Once it has returned
   * shares, the pool must not be used again.
   */
  public List<ReturnedShares> returnShares(long nowNanos) {
    advance(nowNanos);
    List<ReturnedShares> returned = new ArrayList<>();
    if (lent > 0) {
      return returned;
    }
    double tokensPerShare = level / Math.max(1, shareCount());
    delegations.forEach(
        (holder, delegated) ->
            returned.add(
                new ReturnedShares(
                    holder, delegated.delegationId(), tokensPerShare * delegated.shares().size())));
    delegations.clear();
    level = 0;
    return returned;
  }

  /** Returns whether tokens are lent now. */
  public boolean hasLoans(long nowNanos) {
    advance(nowNanos);
    return lent > 0;
  }

  /** Returns the number of shares delegated to this pool. */
  public int shareCount() {
    return delegations.values().stream().mapToInt(d -> d.shares().size()).sum();
  }

  /**
   * Returns how often the tokens held and lent exceeded the capacity, or a share was delegated by
   * two holders at once. Any value but 0 is a fault.
   */
  public long boundViolations() {
    return boundViolations;
  }

  /** Returns the tokens held, for reports. */
  public double level() {
    return level;
  }

  private void advance(long nowNanos) {
    while (true) {
      long end = firstDelegationEnd();
      if (end > nowNanos) {
        break;
      }
      accrueUntil(end);
      // Every loan expires before the first of the delegations that it was lent from, so none is
      // open here.
      expireLoans(end);
      delegations.values().removeIf(d -> d.untilNanos() <= end);
      clampLevel();
    }
    accrueUntil(nowNanos);
    expireLoans(nowNanos);
    if (nowNanos >= boundCheckedFromNanos && level + lent > capacity() + ROUNDING_TOLERANCE) {
      boundViolations++;
    }
  }

  private boolean hasDuplicateShare() {
    Set<Integer> distinct = new HashSet<>();
    delegations.values().forEach(delegated -> distinct.addAll(delegated.shares()));
    return distinct.size() < shareCount();
  }

  /**
   * Returns whether a new answer delegates less than a known one. The holder itself reserves the
   * shares for the longer of both times.
   */
  private static boolean isLess(Set<Integer> shares, long untilNanos, Delegated known) {
    return untilNanos < known.untilNanos() || !shares.containsAll(known.shares());
  }

  /** Suspends the check of the bound until loans made under a larger capacity have expired. */
  private void suspendBoundCheck(long nowNanos) {
    boundCheckedFromNanos = nowNanos + rules.loan().plus(rules.margin()).toNanos();
  }

  private void accrueUntil(long nanos) {
    if (nanos <= advancedToNanos) {
      return;
    }
    level += grant.accrued(fraction(), nanos - advancedToNanos);
    advancedToNanos = nanos;
    clampLevel();
  }

  private void expireLoans(long nanos) {
    Iterator<Loan> open = loansByExpiry.iterator();
    while (open.hasNext()) {
      Loan loan = open.next();
      if (loan.expiresAtNanos() > nanos && loans.containsKey(loan.id())) {
        continue;
      }
      if (loans.remove(loan.id()) != null) {
        lent -= loan.tokens();
      }
      open.remove();
    }
  }

  private void clampLevel() {
    level = Math.max(0, Math.min(level, capacity() - lent));
  }

  private double capacity() {
    return grant.capacity(fraction());
  }

  private double fraction() {
    return (double) shareCount() / rules.shareCount();
  }

  private long firstDelegationEnd() {
    return delegations.values().stream()
        .mapToLong(Delegated::untilNanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private long shortestDelegation(long nowNanos) {
    long end = firstDelegationEnd();
    return end == Long.MAX_VALUE ? 0 : end - nowNanos;
  }
}
