package org.trefoilbarrow.coordination.backend;

import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.membership.Rendezvous;

/**
 * The state of one backend server at this host: its temperature, retry delay and the permits in
 * use. Guarded by the lock of {@link PermitScheduler}.
 */
final class BackendState {
  private final PermitRules rules;
  private BackendDefinition definition;
  private Temperature temperature = Temperature.PROBING;
  private long temperatureSinceNanos;
  private long lastSuccessNanos;
  private long notBeforeNanos;
  private int consecutiveFailures;
  @Nullable private String bootId;
  private boolean reportedCold;
  private int online;
  private int batch;
  private int lent;

  BackendState(PermitRules rules, BackendDefinition definition, long nowNanos) {
    this.rules = rules;
    this.definition = definition;
    this.temperatureSinceNanos = nowNanos;
    this.lastSuccessNanos = nowNanos;
    this.notBeforeNanos = nowNanos;
  }

  BackendDefinition definition() {
    return definition;
  }

  void setDefinition(BackendDefinition newDefinition, long nowNanos) {
    boolean acceptsAgain = newDefinition.accepting() && !definition.accepting();
    boolean addressChanged = !newDefinition.address().equals(definition.address());
    definition = newDefinition;
    if (acceptsAgain || addressChanged) {
      setTemperature(Temperature.PROBING, nowNanos);
    }
  }

  int online() {
    return online;
  }

  int batch() {
    return batch;
  }

  int lent() {
    return lent;
  }

  /** Returns the number of this host's permits that are in use, here or at borrowers. */
  int inProgress() {
    return online + batch + lent;
  }

  void addLoan() {
    lent++;
  }

  void removeLoan() {
    lent--;
  }

  Temperature temperature() {
    return temperature;
  }

  void addRequest(WorkClass workClass) {
    if (workClass == WorkClass.ONLINE) {
      online++;
    } else {
      batch++;
    }
  }

  void removeRequest(WorkClass workClass) {
    if (workClass == WorkClass.ONLINE) {
      online--;
    } else {
      batch--;
    }
  }

  boolean mayStart(Set<Integer> shares, int shareCount, long nowNanos) {
    return isOpen(nowNanos) && inProgress() < limit(shares, shareCount, nowNanos);
  }

  /** Returns whether permits of this backend server may be lent, and borrowed ones used. */
  boolean mayUseLoans(long nowNanos) {
    updateTemperature(nowNanos);
    return isOpen(nowNanos) && temperature == Temperature.WARM;
  }

  private boolean isOpen(long nowNanos) {
    return definition.accepting() && nowNanos >= notBeforeNanos;
  }

  /** Returns the most requests that this host may have in progress at the backend server. */
  int limit(Set<Integer> shares, int shareCount, long nowNanos) {
    if (!definition.accepting()) {
      return 0;
    }
    updateTemperature(nowNanos);
    int permits = totalPermits(nowNanos);
    int own = ownPermits(permits, shares, shareCount);
    return temperature == Temperature.PROBING ? Math.min(1, own) : own;
  }

  /**
   * Returns how many of the permits belong to the given shares. Each permit belongs to one share,
   * chosen by hash, so that the permits of all shares add up to the whole.
   */
  private int ownPermits(int permits, Set<Integer> shares, int shareCount) {
    int first = (int) Math.floorMod(Rendezvous.score("permit", definition.id()), (long) shareCount);
    int own = 0;
    for (int share : shares) {
      int position = Math.floorMod(share - first, shareCount);
      own += permits / shareCount + (position < permits % shareCount ? 1 : 0);
    }
    return own;
  }

  private int totalPermits(long nowNanos) {
    return switch (temperature) {
      case PROBING, COLD -> definition.coldPermits();
      case RAMPING -> {
        double progress = (double) (nowNanos - temperatureSinceNanos) / rules.rampFor().toNanos();
        int additional = definition.permits() - definition.coldPermits();
        yield definition.coldPermits() + (int) (additional * Math.min(1, progress));
      }
      case WARM -> definition.permits();
    };
  }

  private void updateTemperature(long nowNanos) {
    long age = nowNanos - temperatureSinceNanos;
    if (temperature == Temperature.COLD && age >= rules.coldFor().toNanos() && !reportedCold) {
      setTemperature(Temperature.RAMPING, nowNanos);
    } else if (temperature == Temperature.RAMPING && age >= rules.rampFor().toNanos()) {
      setTemperature(Temperature.WARM, nowNanos);
    }
    boolean idle = nowNanos - lastSuccessNanos >= rules.idleFor().toNanos();
    if (idle && temperature != Temperature.PROBING) {
      setTemperature(Temperature.PROBING, nowNanos);
    }
  }

  void onResult(CallResult result, long nowNanos) {
    switch (result) {
      case SUCCESS -> {
        consecutiveFailures = 0;
        lastSuccessNanos = nowNanos;
        if (temperature == Temperature.PROBING) {
          setTemperature(Temperature.COLD, nowNanos);
        }
      }
      case WARMING, UNREACHABLE -> {
        setTemperature(Temperature.PROBING, nowNanos);
        backOff(nowNanos);
      }
      case FAILURE -> {
        if (++consecutiveFailures > 1) {
          setTemperature(Temperature.PROBING, nowNanos);
          backOff(nowNanos);
        }
      }
      case DISCONNECTED, CANCELLED -> {}
    }
  }

  /** Records the boot id in a response; a change means that the server has restarted. */
  void onBootId(String newBootId, long nowNanos) {
    if (bootId != null && !bootId.equals(newBootId)) {
      setTemperature(Temperature.COLD, nowNanos);
    }
    bootId = newBootId;
  }

  /**
   * Records that the backend server is reachable. A host without a cold permit cannot send a probe
   * request and relies on this instead.
   */
  void onReachable(Set<Integer> shares, int shareCount, long nowNanos) {
    if (ownPermits(definition.coldPermits(), shares, shareCount) > 0) {
      return;
    }
    lastSuccessNanos = nowNanos;
    if (temperature == Temperature.PROBING) {
      consecutiveFailures = 0;
      setTemperature(Temperature.COLD, nowNanos);
    }
  }

  /** Records a load report of the backend server. */
  void onLoadReport(Optional<String> newBootId, boolean cold, long nowNanos) {
    newBootId.ifPresent(id -> onBootId(id, nowNanos));
    if (cold && !reportedCold && temperature != Temperature.PROBING) {
      setTemperature(Temperature.COLD, nowNanos);
    }
    if (!cold && reportedCold && temperature == Temperature.COLD) {
      setTemperature(Temperature.RAMPING, nowNanos);
    }
    reportedCold = cold;
  }

  private void backOff(long nowNanos) {
    consecutiveFailures++;
    long delayNanos = rules.retryAfter().toNanos() << Math.min(consecutiveFailures, 10);
    notBeforeNanos = nowNanos + Math.min(delayNanos, rules.maxRetryAfter().toNanos());
  }

  private void setTemperature(Temperature next, long nowNanos) {
    temperature = next;
    temperatureSinceNanos = nowNanos;
  }
}
