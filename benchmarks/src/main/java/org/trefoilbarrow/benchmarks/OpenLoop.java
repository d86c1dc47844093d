package org.trefoilbarrow.benchmarks;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;

/**
 * Starts requests at a fixed rate, regardless of how long they take, so that the measured times
 * include all waiting.
 */
final class OpenLoop {
  private static final long NANOS_IN_SECOND = 1_000_000_000;
  private static final int DRAIN_SECONDS = 30;

  private OpenLoop() {}

  /**
   * Runs requests, each on its own thread, and waits up to 30 s for the last ones to end.
   *
   * @param perSecond the rate of starts, in requests per second
   * @param seconds the time during which requests are started, in seconds
   * @param request runs the request with the given number
   */
  static void run(int perSecond, int seconds, IntConsumer request) throws InterruptedException {
    ExecutorService executor = Executors.newCachedThreadPool();
    int count = perSecond * seconds;
    long startNanos = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long dueNanos = startNanos + i * NANOS_IN_SECOND / perSecond;
      for (long remainingNanos = dueNanos - System.nanoTime();
          remainingNanos > 0;
          remainingNanos = dueNanos - System.nanoTime()) {
        LockSupport.parkNanos(remainingNanos);
      }
      int number = i;
      executor.execute(() -> request.accept(number));
    }
    executor.shutdown();
    if (!executor.awaitTermination(DRAIN_SECONDS, TimeUnit.SECONDS)) {
      executor.shutdownNow();
    }
  }
}
