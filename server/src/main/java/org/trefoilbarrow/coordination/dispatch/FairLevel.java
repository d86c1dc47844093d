package org.trefoilbarrow.coordination.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The waiting demands of one priority, by organisation: start-time fair queueing. The start tag of
 * an organisation grows by the cost of each of its demands that is served, divided by its weight;
 * the smallest tag is served next. An organisation that was idle starts at the tag that was served
 * last, so that it accumulates no credit. Not thread-safe.
 */
final class FairLevel {
  private static final int MIN_ACCOUNTS_TO_EVICT = 64;

  private final Map<String, Account> accounts = new HashMap<>();
  private final TreeSet<Account> active =
      new TreeSet<>(
          Comparator.comparingDouble((Account account) -> account.startTag)
              .thenComparing(account -> account.organisation));
  private double virtualTime;
  private double activeWeight;
  private double activeServed;
  private double accountsWeight;
  private double cost;
  private int evictionSize = MIN_ACCOUNTS_TO_EVICT;

  /** The state of one organisation. */
  private static final class Account {
    final String organisation;
    final TreeSet<FairQueue.Entry> waiting = new TreeSet<>(FairQueue.WITHIN_ORGANISATION);
    double weight;
    double startTag;
    double waitingCost;
    long busySinceNanos;
    double served;

    Account(String organisation) {
      this.organisation = organisation;
    }
  }

  /** Returns the slot time of all waiting demands, in nanoseconds. */
  double cost() {
    return cost;
  }

  void add(String organisation, double weight, FairQueue.Entry entry, long nowNanos) {
    Account account = accountOf(organisation);
    if (account.waiting.isEmpty()) {
      accountsWeight += weight - account.weight;
      account.weight = weight;
      account.startTag = Math.max(account.startTag, virtualTime);
      account.busySinceNanos = nowNanos;
      activeWeight += weight;
      activeServed += account.served;
      active.add(account);
    }
    account.waiting.add(entry);
    account.waitingCost += entry.cost();
    cost += entry.cost();
  }

  void remove(String organisation, FairQueue.Entry entry) {
    Account account = accounts.get(organisation);
    if (account == null || !account.waiting.remove(entry)) {
      return;
    }
    account.waitingCost -= entry.cost();
    cost -= entry.cost();
    if (account.waiting.isEmpty()) {
      account.waitingCost = 0;
      active.remove(account);
      activeWeight -= account.weight;
      activeServed -= account.served;
    }
    if (active.isEmpty()) {
      // Rounding errors must not add up.
      activeWeight = 0;
      activeServed = 0;
      cost = 0;
    }
  }

  /** Returns the demand that is served next. */
  Optional<FairQueue.Entry> first() {
    return active.isEmpty() ? Optional.empty() : Optional.of(active.first().waiting.first());
  }

  /**
   * Charges a served demand.
   *
   * @param decayedCost its cost, scaled by its time; see {@link FairQueue}
   */
  void charge(String organisation, double servedCost, double decayedCost) {
    Account account = accountOf(organisation);
    final boolean wasActive = active.remove(account);
    virtualTime = Math.max(virtualTime, account.startTag);
    account.startTag =
        Math.max(account.startTag, virtualTime) + servedCost / Math.max(account.weight, 1e-9);
    account.served += decayedCost;
    if (wasActive) {
      activeServed += decayedCost;
      active.add(account);
    }
  }

  /** Scales what was served. */
  void rescale(double factor) {
    accounts.values().forEach(account -> account.served *= factor);
    activeServed *= factor;
  }

  /**
   * Returns what would be served before a new demand of an organisation: its own queue, at its
   * share of the slots. The organisations that wait share, by weight, what they were served of
   * late; the rest goes to organisations that have one demand at a time and go before any queue.
   *
   * @param totalServed what was served of late at all priorities, scaled as in {@link #charge}
   */
  FairQueue.Backlog backlogOf(String organisation, double totalServed, long nowNanos) {
    Account account = accounts.get(organisation);
    if (account == null || account.waiting.isEmpty()) {
      double lag = account == null ? 0 : Math.max(0, account.startTag - virtualTime);
      double ahead = Math.min(cost, lag * activeWeight);
      return new FairQueue.Backlog(ahead, 0, 1.0 / (active.size() + 1), 0);
    }
    double part = totalServed > 0 ? Math.min(1, activeServed / totalServed) : 1;
    double share = Math.max(part * account.weight / activeWeight, account.weight / accountsWeight);
    return new FairQueue.Backlog(
        account.waitingCost / share,
        account.waiting.size(),
        share,
        nowNanos - account.busySinceNanos);
  }

  void countInto(Map<String, Integer> counts) {
    active.forEach(
        account -> counts.merge(account.organisation, account.waiting.size(), Integer::sum));
  }

  int accountCount() {
    return accounts.size();
  }

  private Account accountOf(String organisation) {
    Account account = accounts.get(organisation);
    if (account == null) {
      evictIdle();
      account = new Account(organisation);
      accounts.put(organisation, account);
    }
    return account;
  }

  /**
   * Evicts the organisations whose state equals that of a new one. That is all of them when none
   * waits: the next ones to wait start equal.
   */
  private void evictIdle() {
    if (accounts.size() < evictionSize) {
      return;
    }
    if (active.isEmpty()) {
      accounts.values().forEach(account -> virtualTime = Math.max(virtualTime, account.startTag));
    }
    accounts
        .values()
        .removeIf(account -> account.waiting.isEmpty() && account.startTag <= virtualTime);
    accountsWeight = accounts.values().stream().mapToDouble(account -> account.weight).sum();
    evictionSize = Math.max(MIN_ACCOUNTS_TO_EVICT, 2 * accounts.size());
  }
}
