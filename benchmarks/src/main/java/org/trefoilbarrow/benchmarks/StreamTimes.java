package org.trefoilbarrow.benchmarks;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.transport.backend.HttpClients;

/**
 * Sends requests and records their times until the first byte, between chunks and until the end.
 * Thread-safe.
 */
final class StreamTimes {
  private static final long MAX_MICROS = 60_000_000;
  private static final int OK = 200;
  private static final int BUFFER_BYTES = 8192;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final int CONNECTIONS = 512;

  final Histogram firstByteMicros = new ConcurrentHistogram(MAX_MICROS, 3);
  final Histogram betweenChunksMicros = new ConcurrentHistogram(MAX_MICROS, 3);
  final Histogram totalMicros = new ConcurrentHistogram(MAX_MICROS, 3);
  final AtomicInteger failures = new AtomicInteger();
  private final String callerKey;

  /** Creates a recorder of requests with the fleet's default caller key. */
  StreamTimes() {
    this(Fleet.CALLER_KEY);
  }

  /** Creates a recorder of requests with the given caller key. */
  StreamTimes(String callerKey) {
    this.callerKey = callerKey;
  }

  /** Returns a client for requests in parallel; a request that cannot connect within 2 s fails. */
  static CloseableHttpClient newClient() {
    return HttpClients.pooled(CONNECT_TIMEOUT, CONNECTIONS);
  }

  /** Sends a chat request and records its times, or a failure. */
  void request(CloseableHttpClient client, String address, String body) {
    HttpPost post = new HttpPost(URI.create(address + "/v1/chat/completions"));
    post.setHeader("Authorization", "Bearer " + callerKey);
    post.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
    long start = System.nanoTime();
    try {
      client.execute(
          post,
          response -> {
            try (InputStream content = response.getEntity().getContent()) {
              if (response.getCode() == OK) {
                read(content, start);
              } else {
                content.readAllBytes();
                failures.incrementAndGet();
              }
            }
            return null;
          });
    } catch (IOException e) {
      failures.incrementAndGet();
    }
  }

  private void read(InputStream content, long start) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    long last = start;
    for (int read = content.read(buffer); read >= 0; read = content.read(buffer)) {
      long now = System.nanoTime();
      (last == start ? firstByteMicros : betweenChunksMicros).recordValue(micros(now - last));
      last = now;
    }
    totalMicros.recordValue(micros(System.nanoTime() - start));
  }

  private static long micros(long nanos) {
    return Math.min(MAX_MICROS, nanos / 1000);
  }
}
