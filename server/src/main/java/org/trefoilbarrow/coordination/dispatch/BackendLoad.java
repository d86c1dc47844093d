package org.trefoilbarrow.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/** What the dispatcher has placed at one backend server. Not thread-safe. */
final class BackendLoad {
  private static final long NANOS_IN_SECOND = 1_000_000_000L;

  private int running;
  private int failures;
  private long penaltyUntilNanos = Long.MIN_VALUE;
  private boolean gone;
  private final Deque<Long> recentSends = new ArrayDeque<>();

  int running() {
    return running;
  }

  boolean isGone() {
    return gone;
  }

  /** Returns whether the server failed and may only be tried with what no other can take. */
  boolean isPenalised(long nowNanos) {
    return failures > 0 && (nowNanos - penaltyUntilNanos < 0 || running > 0);
  }

  /** Returns the requests placed within the last second. */
  int sentInLastSecond(long nowNanos) {
    while (!recentSends.isEmpty() && nowNanos - recentSends.peekFirst() > NANOS_IN_SECOND) {
      recentSends.removeFirst();
    }
    return recentSends.size();
  }

  void placed(long nowNanos) {
    running++;
    recentSends.addLast(nowNanos);
    sentInLastSecond(nowNanos);
  }

  void registeredRunning() {
    running++;
  }

  void ended() {
    running = Math.max(0, running - 1);
  }

  void succeeded() {
    failures = 0;
  }

  void failed(long nowNanos, DispatchRules rules) {
    failures = Math.min(failures + 1, 8);
    long penalty = rules.penalty().toNanos() << (failures - 1);
    penaltyUntilNanos = nowNanos + Math.min(rules.maxPenalty().toNanos(), penalty);
  }

  void replaced() {
    gone = true;
  }
}
