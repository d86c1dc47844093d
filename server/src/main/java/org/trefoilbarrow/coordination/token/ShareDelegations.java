package org.trefoilbarrow.coordination.token;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.trefoilbarrow.coordination.share.HeldShare;

/**
 * The shares of all resources that this host, as their holder, has delegated to owners, and until
 * when.
 *
 * <p>A share that was never delegated needs no entry: its tokens follow from the time since which
 * it is usable. When a delegation ends without a return, the tokens of its shares count as spent.
 * Thread-safe.
 */
public final class ShareDelegations {
  private final TokenRules rules;
  private final Map<String, Delegation> delegations = new HashMap<>();
  private long nextDelegationId = 1;

  /** The last delegation of the shares of one resource. */
  private static final class Delegation {
    String owner = "";
    long untilNanos;
    long fillNanos;
    long delegationId;
    double tokensPerShare;
    Set<Integer> shares = ImmutableSet.of();
  }

  /** Creates a record without delegations. */
  public ShareDelegations(TokenRules rules) {
    this.rules = checkNotNull(rules, "rules");
  }

  /**
   * Delegates this holder's usable shares of a resource to an owner, or extends their delegation.
   *
   * @param owner the requesting host and its incarnation
   * @param usable the shares that this holder may use now
   */
  public synchronized DelegationAnswer delegate(
      String resource, String owner, Grant grant, List<HeldShare> usable, long nowNanos) {
    if (usable.isEmpty()) {
      return DelegationAnswer.empty();
    }
    Delegation entry = delegations.computeIfAbsent(resource, unused -> new Delegation());
    boolean delegated = nowNanos < entry.untilNanos;
    if (delegated && !entry.owner.equals(owner)) {
      return DelegationAnswer.empty();
    }
    long validNanos = validNanos(usable, nowNanos);
    if (validNanos <= 0) {
      return DelegationAnswer.empty();
    }
    double tokens = 0;
    for (HeldShare share : usable) {
      boolean alreadyDelegated = delegated && entry.shares.contains(share.index());
      tokens += alreadyDelegated ? 0 : accruedTokens(entry, share, grant, nowNanos);
    }
    entry.owner = owner;
    entry.delegationId = nextDelegationId++;
    entry.tokensPerShare = 0;
    entry.shares = usable.stream().map(HeldShare::index).collect(Collectors.toUnmodifiableSet());
    entry.untilNanos = Math.max(entry.untilNanos, nowNanos + validNanos + rules.margin().toNanos());
    entry.fillNanos = grant.fillNanos();
    return new DelegationAnswer(
        entry.delegationId, entry.shares, tokens, validNanos, Optional.of(grant));
  }

  /**
   * Ends the delegation of a resource's shares early.
   *
   * <p>A return counts only if it names the latest answer: an owner that has requested the shares
   * again since may still use them.
   *
   * @param tokens the unspent tokens of the returned shares
   */
  public synchronized void onSharesReturned(
      String resource, String owner, long delegationId, double tokens, Grant grant, long nowNanos) {
    Delegation entry = delegations.get(resource);
    boolean current =
        entry != null
            && entry.owner.equals(owner)
            && entry.delegationId == delegationId
            && nowNanos < entry.untilNanos;
    if (!current || tokens < 0) {
      return;
    }
    entry.owner = "";
    entry.untilNanos = nowNanos;
    entry.fillNanos = grant.fillNanos();
    entry.tokensPerShare = tokens / entry.shares.size();
  }

  /**
   * Evicts resources whose shares have not been delegated for long enough to be full again.
   *
   * @param grants the grants in force; one that changed since the delegation may fill more slowly
   */
  public synchronized void evictFull(Function<String, Optional<Grant>> grants, long nowNanos) {
    delegations
        .entrySet()
        .removeIf(entry -> isFull(entry.getValue(), grants.apply(entry.getKey()), nowNanos));
  }

  private static boolean isFull(Delegation entry, Optional<Grant> grant, long nowNanos) {
    long fill = grant.map(Grant::fillNanos).orElse(0L);
    return nowNanos - entry.untilNanos > Math.max(fill, entry.fillNanos);
  }

  /** Returns the number of resources with an entry. */
  public synchronized int size() {
    return delegations.size();
  }

  private long validNanos(List<HeldShare> usable, long nowNanos) {
    long validNanos = rules.delegation().toNanos();
    for (HeldShare share : usable) {
      validNanos = Math.min(validNanos, share.heldUntilNanos() - nowNanos);
    }
    return validNanos;
  }

  private double accruedTokens(Delegation entry, HeldShare share, Grant grant, long nowNanos) {
    double fraction = 1.0 / rules.shareCount();
    long sinceNanos = Math.max(share.usableFromNanos(), entry.untilNanos);
    double returned = entry.shares.contains(share.index()) ? entry.tokensPerShare : 0;
    double accrued = grant.accrued(fraction, nowNanos - sinceNanos);
    return Math.min(grant.capacity(fraction), returned + accrued);
  }
}
