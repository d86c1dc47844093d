package org.trefoilbarrow.transport.http;

import jakarta.servlet.Filter;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.ServletRequest;
import jakarta.servlet.ServletResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests in progress, so that a shutdown can await their end. Thread-safe. */
public final class ActiveRequests implements Filter {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final AtomicInteger activeCount = new AtomicInteger();

  /** Creates a filter with a count of 0. */
  public ActiveRequests() {}

  @Override
  public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
      throws IOException, ServletException {
    activeCount.incrementAndGet();
    try {
      chain.doFilter(request, response);
    } finally {
      activeCount.decrementAndGet();
    }
  }

  /** Returns the number of requests in progress. */
  public int count() {
    return activeCount.get();
  }

  /** Waits until no request is in progress; returns false if the timeout elapsed before. */
  public boolean awaitNone(Duration timeout) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (activeCount.get() > 0) {
      if (System.nanoTime() > deadlineNanos) {
        return false;
      }
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
    return true;
  }
}
