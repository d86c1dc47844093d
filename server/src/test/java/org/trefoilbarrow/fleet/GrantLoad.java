package org.trefoilbarrow.fleet;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;

/**
 * Callers of one organisation that ask as fast as they are answered, and what came of it.
 *
 * <p>A request that was admitted took its token between its send and its answer. So the requests
 * that were sent and answered within a window are a lower bound of the tokens taken in it.
 */
public final class GrantLoad implements AutoCloseable {
  private final Queue<Admission> admissions = new ConcurrentLinkedQueue<>();
  private final Map<String, Integer> refusals = new ConcurrentHashMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  /** A request that was admitted. Times are readings of this process's monotonic clock. */
  private record Admission(long sentNanos, long answeredNanos) {}

  private GrantLoad() {}

  /** Starts callers, each with a client of its own. */
  public static GrantLoad start(List<Supplier<ApiClient>> callers) {
    GrantLoad load = new GrantLoad();
    for (Supplier<ApiClient> caller : callers) {
      Thread thread = new Thread(() -> load.run(caller.get()), "caller");
      thread.setDaemon(true);
      load.threads.add(thread);
    }
    load.threads.forEach(Thread::start);
    return load;
  }

  /** Returns the number of admitted requests. */
  public int admitted() {
    return admissions.size();
  }

  /** Returns how often each error code was answered. */
  public Map<String, Integer> refusals() {
    return Map.copyOf(refusals);
  }

  /**
   * Returns by how many requests the worst window exceeds a grant; 0 or less if none does.
   *
   * @param fromNanos requests sent before this time do not count
   */
  public double excess(double tokensPerSecond, double burst, long fromNanos) {
    ImmutableList<Admission> bySend =
        admissions.stream()
            .filter(admission -> admission.sentNanos() >= fromNanos)
            .sorted(Comparator.comparingLong(Admission::sentNanos))
            .collect(ImmutableList.toImmutableList());
    double worst = Double.NEGATIVE_INFINITY;
    for (int first = 0; first < bySend.size(); first++) {
      long start = bySend.get(first).sentNanos();
      long[] answers =
          bySend.subList(first, bySend.size()).stream()
              .mapToLong(Admission::answeredNanos)
              .sorted()
              .toArray();
      for (int count = 1; count <= answers.length; count++) {
        double seconds = (answers[count - 1] - start) / 1e9;
        worst = Math.max(worst, count - burst - tokensPerSecond * seconds);
      }
    }
    return worst;
  }

  @Override
  public void close() {
    closed = true;
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void run(ApiClient caller) {
    while (!closed) {
      long sent = System.nanoTime();
      ApiClient.Response answer = caller.chat("x", 1);
      if (answer.status() == 200) {
        admissions.add(new Admission(sent, System.nanoTime()));
      } else {
        refusals.merge(answer.status() + " " + answer.errorCode(), 1, Integer::sum);
        Eventually.pause(Duration.ofMillis(10));
      }
    }
  }
}
