package org.trefoilbarrow.coordination.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The work placed at one backend server, and the server's recent failures. Not thread-safe. */
final class BackendLoad {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int MAX_DOUBLINGS = 8;

  private int running;
  private int failures;
  private long penaltyUntilNanos = Long.MIN_VALUE;
  private int replacementReports;
  private long replacedUntilNanos = Long.MIN_VALUE;
  private Optional<Long> reportedLeavingNanos = Optional.empty();
  private final Deque<Long> recentPlacements = new ArrayDeque<>();

  int running() {
    return running;
  }

  /** Returns whether the server's address was found to belong to another one a moment ago. */
  boolean isReplaced(long nowNanos) {
    return replacementReports > 0 && nowNanos - replacedUntilNanos < 0;
  }

  /**
   * Returns whether the server has failed recently and gets only work that no other server has a
   * slot for.
   */
  boolean isPenalised(long nowNanos) {
    return failures > 0 && (nowNanos - penaltyUntilNanos < 0 || running > 0);
  }

  /** Returns the number of requests placed within the last second. */
  int placedInLastSecond(long nowNanos) {
    while (!recentPlacements.isEmpty()
        && nowNanos - recentPlacements.peekFirst() > NANOS_PER_SECOND) {
      recentPlacements.removeFirst();
    }
    return recentPlacements.size();
  }

  void placed(long nowNanos) {
    running++;
    recentPlacements.addLast(nowNanos);
    placedInLastSecond(nowNanos);
  }

  void registeredRunning() {
    running++;
  }

  void ended() {
    running = Math.max(0, running - 1);
  }

  void succeeded() {
    failures = 0;
    replacementReports = 0;
  }

  void failed(long nowNanos, DispatchRules rules) {
    failures = Math.min(failures + 1, MAX_DOUBLINGS);
    penaltyUntilNanos = nowNanos + backoffNanos(failures, rules.penalty(), rules.maxPenalty());
  }

  /** Records a rejection; those of requests that were placed before the last one say no more. */
  void replaced(long nowNanos, DispatchRules rules) {
    if (isReplaced(nowNanos)) {
      return;
    }
    replacementReports = Math.min(replacementReports + 1, MAX_DOUBLINGS);
    replacedUntilNanos =
        nowNanos
            + backoffNanos(
                replacementReports, rules.replacementPause(), rules.maxReplacementPause());
  }

  private static long backoffNanos(int count, Duration first, Duration longest) {
    return Math.min(longest.toNanos(), first.toNanos() << (count - 1));
  }

  void reportedLeaving(long nowNanos) {
    reportedLeavingNanos = Optional.of(nowNanos);
  }

  /** Returns whether a host reported within the given time that the server is leaving. */
  boolean isReportedLeaving(long nowNanos, Duration validity) {
    return reportedLeavingNanos.isPresent()
        && nowNanos - reportedLeavingNanos.get() < validity.toNanos();
  }
}
