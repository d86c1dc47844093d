package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.trefoilbarrow.coordination.dispatch.Decision;
import org.trefoilbarrow.coordination.dispatch.QueueState;
import org.trefoilbarrow.transport.forward.EventLog;

/**
 * Logs the queue of each demand that is refused because of it, up to a number of lines per second.
 * Used only on the event loop's thread.
 */
final class RefusalLog {
  private static final int MAX_LINES_PER_WINDOW = 200;
  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final EventLog log;
  private long windowStartNanos;
  private int lines;
  private long suppressed;

  RefusalLog(EventLog log) {
    this.log = checkNotNull(log, "log");
  }

  /** Logs a decision if it is such a refusal. */
  void add(Decision decision, long nowNanos) {
    if (decision instanceof Decision.Refused refused) {
      refused.queue().ifPresent(queue -> add(refused, queue, nowNanos));
    }
  }

  private void add(Decision.Refused refused, QueueState queue, long nowNanos) {
    if (nowNanos - windowStartNanos >= WINDOW.toNanos()) {
      windowStartNanos = nowNanos;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_WINDOW) {
      suppressed++;
      return;
    }
    lines++;
    log.add(
        "dispatch",
        "refused by queue",
        "host",
        refused.demand().host(),
        "call",
        refused.demand().call(),
        "reason",
        refused.reason(),
        "organisation",
        queue.organisation(),
        "waiting",
        queue.length(),
        "waitMillis",
        TimeUnit.NANOSECONDS.toMillis(queue.waitNanos()),
        "share",
        Math.round(queue.share() * 1000) / 1000.0,
        "ageMillis",
        TimeUnit.NANOSECONDS.toMillis(queue.ageNanos()),
        "retryAfterMillis",
        refused.retryAfterMillis(),
        "suppressed",
        suppressed);
    suppressed = 0;
  }
}
