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
 * Callers of one organisation that send requests in a closed loop, and the results of the requests.
 *
 * <p>An admitted request acquires its token after it is sent and before its response is received.
 * The number of admitted requests that were sent and answered within a window is therefore a lower
 * bound of the tokens acquired in the window.
 */
public final class GrantLoad implements AutoCloseable {
  private final Queue<Admission> admissions = new ConcurrentLinkedQueue<>();
  private final Map<String, Integer> refusals = new ConcurrentHashMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  /** An admitted request. Times are from the monotonic clock of this process. */
  private record Admission(long sentNanos, long responseNanos) {}

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

  /** Returns the number of responses by status and error code. */
  public Map<String, Integer> refusals() {
    return Map.copyOf(refusals);
  }

  /**
   * Returns the largest number of requests by which a window exceeds a grant; 0 or less if none
   * does.
   *
   * @param fromNanos requests sent before this time are ignored
   */
  public double excess(double tokensPerSecond, double burst, long fromNanos) {
    ImmutableList<Admission> admissionsBySendTime =
        admissions.stream()
            .filter(admission -> admission.sentNanos() >= fromNanos)
            .sorted(Comparator.comparingLong(Admission::sentNanos))
            .collect(ImmutableList.toImmutableList());
    double largestExcess = Double.NEGATIVE_INFINITY;
    for (int first = 0; first < admissionsBySendTime.size(); first++) {
      long startNanos = admissionsBySendTime.get(first).sentNanos();
      long[] responseTimes =
          admissionsBySendTime.subList(first, admissionsBySendTime.size()).stream()
              .mapToLong(Admission::responseNanos)
              .sorted()
              .toArray();
      for (int count = 1; count <= responseTimes.length; count++) {
        double seconds = (responseTimes[count - 1] - startNanos) / 1e9;
        largestExcess = Math.max(largestExcess, count - burst - tokensPerSecond * seconds);
      }
    }
    return largestExcess;
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
      long sentNanos = System.nanoTime();
      ApiClient.Response response = caller.chat("x", 1);
      if (response.status() == 200) {
        admissions.add(new Admission(sentNanos, System.nanoTime()));
      } else {
        refusals.merge(response.status() + " " + response.errorCode(), 1, Integer::sum);
        Eventually.pause(Duration.ofMillis(10));
      }
    }
  }
}
