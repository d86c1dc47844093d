package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.trefoilbarrow.coordination.token.DelegationAnswer;
import org.trefoilbarrow.coordination.token.Grant;
import org.trefoilbarrow.coordination.token.LoanAnswer;
import org.trefoilbarrow.coordination.token.TokenPool;
import org.trefoilbarrow.coordination.token.TokenRules;

/**
 * The token pools of the resources that this host owns. A pool exists while hosts request its
 * tokens.
 *
 * <p>Thread-safe; each pool is used under its own lock, and no lock is held while another is
 * acquired.
 */
final class TokenPools {
  private static final Duration EVICT_AFTER = Duration.ofMillis(600);

  /** The first loan identifier of a pool is its block number, shifted left by this many bits. */
  private static final int LOAN_BLOCK_BITS = 24;

  private final TokenRules rules;
  private final AtomicLong lastLoanBlock;
  private final Map<String, Entry> pools = new ConcurrentHashMap<>();
  private final AtomicLong evictedViolations = new AtomicLong();

  /** A pool and when tokens were last requested from it. */
  private static final class Entry {
    final TokenPool pool;
    long lastRequestNanos;
    boolean owned = true;

    Entry(TokenPool pool) {
      this.pool = pool;
    }
  }

  /**
   * Creates an empty set of pools.
   *
   * @param incarnation the host's incarnation; loan identifiers derive from it, so that they differ
   *     after a restart
   */
  TokenPools(TokenRules rules, long incarnation) {
    this.rules = checkNotNull(rules, "rules");
    this.lastLoanBlock = new AtomicLong(incarnation & 0xFFFFF);
  }

  /** Lends tokens from a resource's pool, which is created without shares if it does not exist. */
  LoanAnswer lend(String resource, Grant grant, int wanted, long nowNanos) {
    Entry entry =
        pools.computeIfAbsent(
            resource, unused -> new Entry(new TokenPool(rules, grant, firstLoanId(), nowNanos)));
    synchronized (entry) {
      entry.lastRequestNanos = nowNanos;
      entry.pool.setGrant(grant, nowNanos);
      return entry.pool.lend(entry.owned ? wanted : 0, nowNanos);
    }
  }

  void settle(String resource, long loanId, int unspent, long nowNanos) {
    Entry entry = pools.get(resource);
    if (entry != null) {
      synchronized (entry) {
        entry.pool.settle(loanId, unspent, nowNanos);
      }
    }
  }

  void onDelegation(
      String resource, String holder, DelegationAnswer answer, long sentAtNanos, long nowNanos) {
    Entry entry = pools.get(resource);
    if (entry != null) {
      synchronized (entry) {
        entry.pool.onDelegation(holder, answer, sentAtNanos, nowNanos);
      }
    }
  }

  /** The resources that need delegations, and the shares of the evicted pools. */
  record Activity(
      List<String> active, Map<String, List<TokenPool.ReturnedShares>> returnedByResource) {}

  /**
   * Returns the resources that need delegations, and evicts pools that no host requests tokens from
   * or that another host owns now, as soon as none of their tokens is lent.
   *
   * @param isOwned returns whether this host considers itself the owner of a resource
   */
  Activity activity(Predicate<String> isOwned, long nowNanos) {
    ImmutableList.Builder<String> active = ImmutableList.builder();
    Map<String, List<TokenPool.ReturnedShares>> returned = new HashMap<>();
    for (Map.Entry<String, Entry> pool : Map.copyOf(pools).entrySet()) {
      synchronized (pool.getValue()) {
        Entry entry = pool.getValue();
        entry.owned = isOwned.test(pool.getKey());
        boolean recentlyRequested = nowNanos - entry.lastRequestNanos < EVICT_AFTER.toNanos();
        if (entry.owned && recentlyRequested) {
          active.add(pool.getKey());
        } else if (!entry.pool.hasLoans(nowNanos)) {
          evictedViolations.addAndGet(pool.getValue().pool.boundViolations());
          returned.put(pool.getKey(), pool.getValue().pool.returnShares(nowNanos));
          pools.remove(pool.getKey());
        }
      }
    }
    return new Activity(active.build(), returned);
  }

  /** Returns whether a resource's pool exists and does not hold all shares yet. */
  boolean lacksShares(String resource) {
    return Optional.ofNullable(pools.get(resource))
        .map(
            entry -> {
              synchronized (entry) {
                return entry.pool.shareCount() < rules.shareCount();
              }
            })
        .orElse(false);
  }

  /** Returns how often any pool held more than its capacity; must stay 0. */
  long boundViolations() {
    long sum = evictedViolations.get();
    for (Entry entry : pools.values()) {
      synchronized (entry) {
        sum += entry.pool.boundViolations();
      }
    }
    return sum;
  }

  int size() {
    return pools.size();
  }

  private long firstLoanId() {
    return lastLoanBlock.incrementAndGet() << LOAN_BLOCK_BITS;
  }
}
