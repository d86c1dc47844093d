package org.trefoilbarrow.transport.backend;

import java.time.Duration;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClientBuilder;
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultClassicHttpResponseFactory;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** Creates HTTP clients that neither retry nor follow redirects nor keep cookies. */
public final class HttpClients {
  private static final TimeValue VALIDATE_IDLE_AFTER = TimeValue.ofMilliseconds(500);
  private static final TimeValue MAX_IDLE = TimeValue.ofSeconds(20);

  /** The idle time before the first TCP keep-alive probe, and the interval between probes. */
  private static final int KEEP_ALIVE_SECONDS = 1;

  /** The number of unanswered probes after which a connection is closed. */
  private static final int KEEP_ALIVE_PROBES = 2;

  /** No empty line may stand before the head of a response; the parser counts from 1. */
  private static final Http1Config HTTP_CONFIGURATION =
      Http1Config.custom().setMaxEmptyLineCount(1).build();

  private HttpClients() {}

  /** Returns a client that reuses connections. */
  public static CloseableHttpClient pooled(Duration connectTimeout, int maxConnectionsPerServer) {
    return pooled(connections(connectTimeout, maxConnectionsPerServer));
  }

  /** Returns a client that reuses the given connections. */
  static CloseableHttpClient pooled(PoolingHttpClientConnectionManager connections) {
    return builder(connections).build();
  }

  /** Returns a client that opens a new connection for each request. */
  public static CloseableHttpClient unpooled(Duration connectTimeout, int maxConnectionsPerServer) {
    return builder(connections(connectTimeout, maxConnectionsPerServer))
        .setConnectionReuseStrategy((request, response, context) -> false)
        .build();
  }

  /** Returns an empty connection pool. */
  static PoolingHttpClientConnectionManager connections(
      Duration connectTimeout, int maxConnectionsPerServer) {
    ConnectionConfig configuration =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.of(connectTimeout))
            .setValidateAfterInactivity(VALIDATE_IDLE_AFTER)
            .build();
    return PoolingHttpClientConnectionManagerBuilder.create()
        .setConnectionFactory(
            ManagedHttpClientConnectionFactory.builder()
                .http1Config(HTTP_CONFIGURATION)
                .responseParserFactory(
                    new DefaultHttpResponseParserFactory(
                        HTTP_CONFIGURATION,
                        ResponseHeadParser.INSTANCE,
                        DefaultClassicHttpResponseFactory.INSTANCE))
                .incomingContentLengthStrategy(ResponseHeadParser::determineLength)
                .build())
        .setDefaultConnectionConfig(configuration)
        .setDefaultSocketConfig(
            SocketConfig.custom()
                .setTcpNoDelay(true)
                .setSoKeepAlive(true)
                .setTcpKeepIdle(KEEP_ALIVE_SECONDS)
                .setTcpKeepInterval(KEEP_ALIVE_SECONDS)
                .setTcpKeepCount(KEEP_ALIVE_PROBES)
                .build())
        .setMaxConnPerRoute(maxConnectionsPerServer)
        .setMaxConnTotal(Integer.MAX_VALUE)
        .build();
  }

  private static HttpClientBuilder builder(PoolingHttpClientConnectionManager connections) {
    return HttpClientBuilder.create()
        .setConnectionManager(connections)
        .evictIdleConnections(MAX_IDLE)
        .disableAutomaticRetries()
        .disableRedirectHandling()
        .disableCookieManagement()
        .disableAuthCaching()
        .disableContentCompression();
  }
}
