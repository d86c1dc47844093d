package org.trefoilbarrow.coordination.backend;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.trefoilbarrow.protocol.RouteTarget;

/**
 * The online requests in progress for each target, and their recent peaks. Guarded by the lock of
 * {@link PermitScheduler}.
 */
final class OnlineUsage {
  /** The time for which permits that online work used are not lent. */
  private static final Duration LENDING_WINDOW = Duration.ofSeconds(1);

  private final Duration batchWindow;
  private final Map<RouteTarget, Usage> usages = new HashMap<>();

  /** The usage of one target. */
  private final class Usage {
    final RecentPeak batchPeak = new RecentPeak(batchWindow.toNanos());
    final RecentPeak lendingPeak = new RecentPeak(LENDING_WINDOW.toNanos());
    int inProgress;
  }

  /**
   * Creates an empty record.
   *
   * @param batchWindow the time for which permits that online work used are kept free of batch work
   */
  OnlineUsage(Duration batchWindow) {
    this.batchWindow = batchWindow;
  }

  void onStart(RouteTarget target, long nowNanos) {
    change(target, 1, nowNanos);
  }

  void onEnd(RouteTarget target, long nowNanos) {
    change(target, -1, nowNanos);
  }

  /** Returns the number of permits to keep free of batch work. */
  int batchPeak(RouteTarget target, long nowNanos) {
    Usage usage = usages.get(target);
    return usage == null ? 0 : usage.batchPeak.get(nowNanos);
  }

  /** Returns the number of permits not to lend. */
  int lendingPeak(RouteTarget target, long nowNanos) {
    Usage usage = usages.get(target);
    return usage == null ? 0 : usage.lendingPeak.get(nowNanos);
  }

  private void change(RouteTarget target, int change, long nowNanos) {
    Usage usage = usages.computeIfAbsent(target, unused -> new Usage());
    usage.inProgress += change;
    usage.batchPeak.add(usage.inProgress, nowNanos);
    usage.lendingPeak.add(usage.inProgress, nowNanos);
  }
}
