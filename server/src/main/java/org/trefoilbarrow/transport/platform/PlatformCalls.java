package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.util.concurrent.RateLimiter;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.util.Timeout;
import org.trefoilbarrow.state.PlatformException;

/**
 * Makes HTTP calls to a platform at a limited rate, and distinguishes failed calls that certainly
 * had no effect from others. Thread-safe.
 */
public final class PlatformCalls {
  private final CloseableHttpClient client;
  private final Duration timeout;
  private final RateLimiter rateLimiter;
  private final LongSupplier nanoClock;
  private final AtomicLong lastResponseNanos;
  private final AtomicLong count = new AtomicLong();
  private final Map<HttpUriRequestBase, String> longPolls = new ConcurrentHashMap<>();

  /** Turns a response into a value. */
  @FunctionalInterface
  public interface Reader<T> {
    /** Reads a response; throws {@link PlatformException} or an I/O error if it has no value. */
    T read(ClassicHttpResponse response) throws IOException;
  }

  /**
   * Creates an instance that uses the given client.
   *
   * @param timeout how long a call waits for a connection of the pool
   * @param callsPerSecond the largest rate of calls
   */
  public PlatformCalls(
      CloseableHttpClient client, Duration timeout, double callsPerSecond, LongSupplier nanoClock) {
    this.client = checkNotNull(client, "client");
    this.timeout = checkNotNull(timeout, "timeout");
    this.rateLimiter = RateLimiter.create(callsPerSecond);
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.lastResponseNanos = new AtomicLong(nanoClock.getAsLong());
  }

  /** Returns the time of the last response, by the clock given to the constructor. */
  public long lastResponseNanos() {
    return lastResponseNanos.get();
  }

  /** Returns the number of calls made so far. */
  public long count() {
    return count.get();
  }

  /**
   * Makes a call whose response comes when there is a change, unless {@link #abortLongPolls} ends
   * it.
   *
   * @param topic what the call waits for
   * @throws PlatformException if there is no response, or the reader cannot read it
   */
  public <T> T longPoll(
      String topic, HttpUriRequestBase request, Duration responseTimeout, Reader<T> reader) {
    longPolls.put(request, topic);
    try {
      return call(request, responseTimeout, reader);
    } finally {
      longPolls.remove(request);
    }
  }

  /**
   * Aborts the long polls in progress on some topics, as if the platform had not responded to them.
   */
  public void abortLongPolls(Predicate<String> topics) {
    longPolls.forEach(
        (request, topic) -> {
          if (topics.test(topic)) {
            request.abort();
          }
        });
  }

  /**
   * Makes a call and waits for its response.
   *
   * @throws PlatformException if there is no response, or the reader cannot read it
   */
  public <T> T call(HttpUriRequestBase request, Duration responseTimeout, Reader<T> reader) {
    rateLimiter.acquire();
    count.incrementAndGet();
    request.setConfig(
        RequestConfig.custom()
            .setResponseTimeout(Timeout.of(responseTimeout))
            .setConnectionRequestTimeout(Timeout.of(timeout))
            .build());
    try {
      T value = client.execute(request, reader::read);
      lastResponseNanos.set(nanoClock.getAsLong());
      return value;
    } catch (ConnectException | ConnectTimeoutException e) {
      throw new PlatformException("platform is not reachable", e, true);
    } catch (IOException e) {
      throw new PlatformException("platform did not respond to " + request.getMethod(), e, false);
    }
  }
}
