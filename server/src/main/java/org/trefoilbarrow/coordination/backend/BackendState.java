package org.trefoilbarrow.coordination.backend;

import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.membership.Rendezvous;

/**
 * What this host knows of one backend server: its state since its start, and the requests that this
 * host has in progress there. Guarded by the lock of {@link PermitScheduler}.
 */
final class BackendState {
  private final PermitRules rules;
  private BackendDefinition definition;
  private Temperature temperature = Temperature.PROBING;
  private long temperatureSinceNanos;
  private long lastSuccessNanos;
  private long notBeforeNanos;
  private int failuresInRow;
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
    boolean returned = newDefinition.accepting() && !definition.accepting();
    boolean moved = !newDefinition.address().equals(definition.address());
    definition = newDefinition;
    if (returned || moved) {
      become(Temperature.PROBING, nowNanos);
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

  /** Returns the permits of this host that are in use, here or on loan. */
  int inProgress() {
    return online + batch + lent;
  }

  void beginLoan() {
    lent++;
  }

  void endLoan() {
    lent--;
  }

  Temperature temperature() {
    return temperature;
  }

  void begin(WorkClass workClass) {
    if (workClass == WorkClass.ONLINE) {
      online++;
    } else {
      batch++;
    }
  }

  void end(WorkClass workClass) {
    if (workClass == WorkClass.ONLINE) {
      online--;
    } else {
      batch--;
    }
  }

  boolean mayStart(Set<Integer> shares, int shareCount, long nowNanos) {
    return isOpen(nowNanos) && inProgress() < limit(shares, shareCount, nowNanos);
  }

  /** Returns whether a permit of this backend server may be lent, or used on loan. */
  boolean mayUseLoans(long nowNanos) {
    adjust(nowNanos);
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
    adjust(nowNanos);
    int permitsNow = permitsOverAllHosts(nowNanos);
    int own = ownPart(permitsNow, shares, shareCount);
    return temperature == Temperature.PROBING ? Math.min(1, own) : own;
  }

  /** Each permit belongs to one share, found by hash, so that the parts add up to the whole. */
  private int ownPart(int permits, Set<Integer> shares, int shareCount) {
    int first = (int) Math.floorMod(Rendezvous.score("permit", definition.id()), (long) shareCount);
    int own = 0;
    for (int share : shares) {
      int position = Math.floorMod(share - first, shareCount);
      own += permits / shareCount + (position < permits % shareCount ? 1 : 0);
    }
    return own;
  }

  private int permitsOverAllHosts(long nowNanos) {
    return switch (temperature) {
      case PROBING, COLD -> definition.coldPermits();
      case RAMPING -> {
        double progress = (double) (nowNanos - temperatureSinceNanos) / rules.rampFor().toNanos();
        int more = definition.permits() - definition.coldPermits();
        yield definition.coldPermits() + (int) (more * Math.min(1, progress));
      }
      case WARM -> definition.permits();
    };
  }

  private void adjust(long nowNanos) {
    long age = nowNanos - temperatureSinceNanos;
    if (temperature == Temperature.COLD && age >= rules.coldFor().toNanos() && !reportedCold) {
      become(Temperature.RAMPING, nowNanos);
    } else if (temperature == Temperature.RAMPING && age >= rules.rampFor().toNanos()) {
      become(Temperature.WARM, nowNanos);
    }
    boolean idle = nowNanos - lastSuccessNanos >= rules.idleFor().toNanos();
    if (idle && temperature != Temperature.PROBING) {
      become(Temperature.PROBING, nowNanos);
    }
  }

  void onResult(CallResult result, long nowNanos) {
    switch (result) {
      case SUCCESS -> {
        failuresInRow = 0;
        lastSuccessNanos = nowNanos;
        if (temperature == Temperature.PROBING) {
          become(Temperature.COLD, nowNanos);
        }
      }
      case WARMING, UNREACHABLE -> {
        become(Temperature.PROBING, nowNanos);
        leaveAlone(nowNanos);
      }
      case FAILURE -> {
        if (++failuresInRow > 1) {
          become(Temperature.PROBING, nowNanos);
          leaveAlone(nowNanos);
        }
      }
      case DISCONNECTED, CANCELLED -> {}
    }
  }

  /** Records the boot id that an answer carried; a change is the sign of a cold start. */
  void onBootId(String seenBootId, long nowNanos) {
    if (bootId != null && !bootId.equals(seenBootId)) {
      become(Temperature.COLD, nowNanos);
    }
    bootId = seenBootId;
  }

  /**
   * Records that the backend server answers. A host without a cold permit cannot send a probe, and
   * goes by this sign instead.
   */
  void onReachable(Set<Integer> shares, int shareCount, long nowNanos) {
    if (ownPart(definition.coldPermits(), shares, shareCount) > 0) {
      return;
    }
    lastSuccessNanos = nowNanos;
    if (temperature == Temperature.PROBING) {
      failuresInRow = 0;
      become(Temperature.COLD, nowNanos);
    }
  }

  /** Records a load report. */
  void onLoadReport(Optional<String> seenBootId, boolean cold, long nowNanos) {
    seenBootId.ifPresent(id -> onBootId(id, nowNanos));
    if (cold && !reportedCold && temperature != Temperature.PROBING) {
      become(Temperature.COLD, nowNanos);
    }
    if (!cold && reportedCold && temperature == Temperature.COLD) {
      become(Temperature.RAMPING, nowNanos);
    }
    reportedCold = cold;
  }

  private void leaveAlone(long nowNanos) {
    failuresInRow++;
    long wait = rules.retryAfter().toNanos() << Math.min(failuresInRow, 10);
    notBeforeNanos = nowNanos + Math.min(wait, rules.maxRetryAfter().toNanos());
  }

  private void become(Temperature next, long nowNanos) {
    temperature = next;
    temperatureSinceNanos = nowNanos;
  }
}
