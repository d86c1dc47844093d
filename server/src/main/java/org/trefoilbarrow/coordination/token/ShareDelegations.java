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
 * A share holder's part for all resources: which of its shares are delegated, and until when.
 *
 * <p>A share that is home and was never delegated needs no entry: its tokens follow from the time
 * since which it is home. A delegation that was not renewed counts as spent: the share comes home
 * with no tokens. Thread-safe.
 */
public final class ShareDelegations {
  private final TokenRules rules;
  private final Map<String, Away> away = new HashMap<>();
  private long nextDelegationId = 1;

  /** Where the shares of one resource are. */
  private static final class Away {
    String owner = "";
    long untilNanos;
    long fillNanos;
    long delegationId;
    double tokensOfShare;
    Set<Integer> shares = ImmutableSet.of();
  }

  /** Creates a book without delegations. */
  public ShareDelegations(TokenRules rules) {
    this.rules = checkNotNull(rules, "rules");
  }

  /**
   * Delegates this holder's shares of a resource, or extends their delegation.
   *
   * @param owner the asking host and its incarnation
   * @param usable the shares that this holder may use now
   */
  public synchronized DelegationAnswer delegate(
      String resource, String owner, Grant grant, List<HeldShare> usable, long nowNanos) {
    if (usable.isEmpty()) {
      return DelegationAnswer.empty();
    }
    Away entry = away.computeIfAbsent(resource, unused -> new Away());
    boolean isAway = nowNanos < entry.untilNanos;
    if (isAway && !entry.owner.equals(owner)) {
      return DelegationAnswer.empty();
    }
    long validNanos = validNanos(usable, nowNanos);
    if (validNanos <= 0) {
      return DelegationAnswer.empty();
    }
    double tokens = 0;
    for (HeldShare share : usable) {
      boolean alreadyThere = isAway && entry.shares.contains(share.index());
      tokens += alreadyThere ? 0 : homeTokens(entry, share, grant, nowNanos);
    }
    entry.owner = owner;
    entry.delegationId = nextDelegationId++;
    entry.tokensOfShare = 0;
    entry.shares = usable.stream().map(HeldShare::index).collect(Collectors.toUnmodifiableSet());
    entry.untilNanos = Math.max(entry.untilNanos, nowNanos + validNanos + rules.margin().toNanos());
    entry.fillNanos = grant.fillNanos();
    return new DelegationAnswer(
        entry.delegationId, entry.shares, tokens, validNanos, Optional.of(grant));
  }

  /**
   * Takes back the shares of a resource before their delegation ends.
   *
   * <p>Only the answer that was given last can be returned: an owner that asked again since may
   * still use the shares.
   *
   * @param tokens the tokens that come back with the shares
   */
  public synchronized void onSharesReturned(
      String resource, String owner, long delegationId, double tokens, Grant grant, long nowNanos) {
    Away entry = away.get(resource);
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
    entry.tokensOfShare = tokens / entry.shares.size();
  }

  /**
   * Forgets resources whose shares have been home for long enough to be full again.
   *
   * @param grants the grants in force; one that was changed since a delegation may fill more slowly
   */
  public synchronized void evictFull(Function<String, Optional<Grant>> grants, long nowNanos) {
    away.entrySet()
        .removeIf(entry -> isFull(entry.getValue(), grants.apply(entry.getKey()), nowNanos));
  }

  private static boolean isFull(Away entry, Optional<Grant> grant, long nowNanos) {
    long fill = grant.map(Grant::fillNanos).orElse(0L);
    return nowNanos - entry.untilNanos > Math.max(fill, entry.fillNanos);
  }

  /** Returns the number of resources with an entry. */
  public synchronized int size() {
    return away.size();
  }

  private long validNanos(List<HeldShare> usable, long nowNanos) {
    long valid = rules.delegation().toNanos();
    for (HeldShare share : usable) {
      valid = Math.min(valid, share.heldUntilNanos() - nowNanos);
    }
    return valid;
  }

  private double homeTokens(Away entry, HeldShare share, Grant grant, long nowNanos) {
    double part = 1.0 / rules.shareCount();
    long homeSince = Math.max(share.usableFromNanos(), entry.untilNanos);
    double returned = entry.shares.contains(share.index()) ? entry.tokensOfShare : 0;
    double accrued = grant.accrued(part, nowNanos - homeSince);
    return Math.min(grant.capacity(part), returned + accrued);
  }
}
