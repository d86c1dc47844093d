package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Holds back watches of the platform while its probe fails, so that an outage takes the calls of
 * one probe and not those of all watches. Thread-safe.
 */
public final class OutageGate {
  /**
   * The longest time for which a watch is held back: the platform may refuse the probe alone, and
   * operators' decisions must be in force soon.
   */
  public static final Duration MAX_WAIT = Duration.ofSeconds(2);

  private final Duration maxWait;
  private boolean lost;

  /**
   * Creates a gate that holds no watch back.
   *
   * @param maxWait the longest time for which a watch is held back
   */
  public OutageGate(Duration maxWait) {
    this.maxWait = checkNotNull(maxWait, "maxWait");
  }

  /** Records whether the probe fails. */
  public synchronized void setLost(boolean newLost) {
    lost = newLost;
    notifyAll();
  }

  /** Waits until the platform responds to the probe, or for the longest time. */
  void awaitRegained() {
    long endNanos = System.nanoTime() + maxWait.toNanos();
    synchronized (this) {
      while (lost) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        if (remainingMillis <= 0) {
          return;
        }
        try {
          wait(remainingMillis);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
    }
  }
}
