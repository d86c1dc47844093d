package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.util.concurrent.RateLimiter;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.util.Timeout;
import org.trefoilbarrow.state.PlatformException;

/**
 * Makes calls to a platform over HTTP within a budget of calls per second, and tells errors that
 * certainly had no effect from others. Thread-safe.
 */
public final class PlatformCalls {
  private final CloseableHttpClient client;
  private final Duration timeout;
  private final RateLimiter budget;
  private final LongSupplier nanoClock;
  private final AtomicLong lastResponseNanos;
  private final AtomicLong count = new AtomicLong();
  private final Set<HttpUriRequestBase> waiting = ConcurrentHashMap.newKeySet();

  /** Turns an answer into a value. */
  @FunctionalInterface
  public interface Reader<T> {
    /** Reads an answer; throws {@link PlatformException} or an I/O error if it states none. */
    T read(ClassicHttpResponse response) throws IOException;
  }

  /**
   * Creates the calls.
   *
   * @param timeout how long a call waits for a connection
   * @param callsPerSecond the budget of calls
   */
  public PlatformCalls(
      CloseableHttpClient client, Duration timeout, double callsPerSecond, LongSupplier nanoClock) {
    this.client = checkNotNull(client, "client");
    this.timeout = checkNotNull(timeout, "timeout");
    this.budget = RateLimiter.create(callsPerSecond);
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.lastResponseNanos = new AtomicLong(nanoClock.getAsLong());
  }

  /** Returns when the platform last answered, by the clock given to the constructor. */
  public long lastResponseNanos() {
    return lastResponseNanos.get();
  }

  /** Returns the number of calls made so far. */
  public long count() {
    return count.get();
  }

  /**
   * Makes a call whose answer comes when there is news, unless {@link #abortLongPolls} ends it.
   *
   * @throws PlatformException if there is no answer, or the reader finds none
   */
  public <T> T longPoll(HttpUriRequestBase request, Duration answerTimeout, Reader<T> reader) {
    waiting.add(request);
    try {
      return call(request, answerTimeout, reader);
    } finally {
      waiting.remove(request);
    }
  }

  /** Ends all calls that wait for news, as if the platform had not answered them. */
  public void abortLongPolls() {
    waiting.forEach(HttpUriRequestBase::abort);
  }

  /**
   * Makes a call and waits for its answer.
   *
   * @throws PlatformException if there is no answer, or the reader finds none
   */
  public <T> T call(HttpUriRequestBase request, Duration answerTimeout, Reader<T> reader) {
    budget.acquire();
    count.incrementAndGet();
    request.setConfig(
        RequestConfig.custom()
            .setResponseTimeout(Timeout.of(answerTimeout))
            .setConnectionRequestTimeout(Timeout.of(timeout))
            .build());
    try {
      T value = client.execute(request, reader::read);
      lastResponseNanos.set(nanoClock.getAsLong());
      return value;
    } catch (ConnectException | ConnectTimeoutException e) {
      throw new PlatformException("platform is not reachable", e, true);
    } catch (IOException e) {
      throw new PlatformException("platform did not answer " + request.getMethod(), e, false);
    }
  }
}
