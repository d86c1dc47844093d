package org.trefoilbarrow.transport.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.io.ByteStreams;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.trefoilbarrow.coordination.backend.CallResult;
import org.trefoilbarrow.coordination.backend.Permit;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.ErrorKind;

/**
 * The HTTP client of backend servers.
 *
 * <p>The caller's key is never sent. A response with another request identifier than the one sent
 * is an error. A request that may not be repeated uses a new connection: on a pooled connection
 * that was closed unnoticed, it would be unknown whether it ran. Thread-safe.
 */
public final class BackendClient {
  static final String REQUEST_ID_HEADER = "X-Request-Id";
  static final String BOOT_ID_HEADER = "X-Boot-Id";
  static final String ADMITTED_HEADER = "X-Admitted";

  private static final int SERVICE_UNAVAILABLE = 503;

  private final PoolingHttpClientConnectionManager connections;
  private final CloseableHttpClient pooled;
  private final CloseableHttpClient unpooled;
  private final PermitScheduler scheduler;
  private final Duration connectTimeout;
  private final LongSupplier nanoClock;
  private final RequestsInFlight inFlight = new RequestsInFlight();

  /**
   * Creates a client.
   *
   * @param connectTimeout the longest time to open a connection
   * @param maxConnectionsPerServer the largest number of connections to one backend server
   */
  public BackendClient(
      PermitScheduler scheduler,
      Duration connectTimeout,
      int maxConnectionsPerServer,
      LongSupplier nanoClock) {
    this.connections = HttpClients.connections(connectTimeout, maxConnectionsPerServer);
    this.pooled = HttpClients.pooled(connections);
    this.unpooled = HttpClients.unpooled(connectTimeout, maxConnectionsPerServer);
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.connectTimeout = checkNotNull(connectTimeout, "connectTimeout");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /**
   * Sends a request and returns its response as soon as the status and headers were received.
   *
   * @param onSending receives an action that aborts the request, before it is sent
   */
  BackendResponse send(Permit permit, BackendRequest request, Consumer<Runnable> onSending)
      throws BackendException {
    HttpUriRequestBase sent = newRequest(permit, request);
    onSending.accept(sent::cancel);
    ClassicHttpResponse response;
    try (RequestsInFlight.InFlight waiting =
        inFlight.register(
            permit.backend().id(), sent, request.idempotent(), nanoClock.getAsLong())) {
      response = execute(sent, request, waiting);
    }
    BackendResponse received = new BackendResponse(sent, response);
    boolean accepted = false;
    try {
      checkResponse(permit, request, received);
      accepted = true;
      return received;
    } finally {
      if (!accepted) {
        received.abort();
      }
    }
  }

  /**
   * Closes all idle connections, and cancels the requests that were sent before the given time and
   * may be repeated, since connections opened before it are unresponsive while new ones work.
   * Cancelled requests are retried; those that may not be repeated continue to wait, since their
   * response may still arrive.
   */
  public void onUnresponsiveConnections(BackendServerId backend, long openedBeforeNanos) {
    connections.closeIdle(TimeValue.ZERO_MILLISECONDS);
    inFlight.cancelSentBefore(backend, openedBeforeNanos);
  }

  /** Reads the body of a response in full. */
  static byte[] readFully(BackendResponse response, int maxBytes) throws BackendException {
    try (InputStream body = response.body()) {
      byte[] bytes = ByteStreams.limit(body, maxBytes + 1L).readAllBytes();
      if (bytes.length > maxBytes) {
        response.abort();
        throw new BackendException(
            CallResult.SUCCESS,
            ErrorKind.BACKEND_FAILED,
            String.format("the response is longer than %d bytes", maxBytes));
      }
      return bytes;
    } catch (IOException e) {
      response.abort();
      throw brokenResponse(e);
    }
  }

  static BackendException brokenResponse(IOException cause) {
    boolean stalled = cause instanceof SocketTimeoutException;
    return new BackendException(
        CallResult.FAILURE,
        stalled ? ErrorKind.BACKEND_TIMEOUT : ErrorKind.BACKEND_FAILED,
        stalled ? "the response stalled" : "the response ended before it was complete",
        cause);
  }

  private HttpUriRequestBase newRequest(Permit permit, BackendRequest request) {
    URI uri = URI.create(permit.backend().address() + request.path());
    HttpUriRequestBase sent = new HttpUriRequestBase(request.method(), uri);
    sent.setConfig(
        RequestConfig.custom()
            .setResponseTimeout(Timeout.of(request.timeout()))
            .setConnectionRequestTimeout(Timeout.of(connectTimeout))
            .setRedirectsEnabled(false)
            .build());
    sent.setHeader(REQUEST_ID_HEADER, request.requestId().value());
    if (request.contentType() != null || request.body().length > 0) {
      ContentType type =
          request.contentType() == null ? null : ContentType.parseLenient(request.contentType());
      sent.setEntity(new ByteArrayEntity(request.body(), type));
    }
    return sent;
  }

  private ClassicHttpResponse execute(
      HttpUriRequestBase sent, BackendRequest request, RequestsInFlight.InFlight waiting)
      throws BackendException {
    CloseableHttpClient client = request.mayReuseConnection() ? pooled : unpooled;
    try {
      return client.executeOpen(null, sent, null);
    } catch (ConnectException | NoRouteToHostException | ConnectTimeoutException e) {
      throw new BackendException(
          CallResult.UNREACHABLE, ErrorKind.NO_BACKEND_SERVER, "no connection could be opened", e);
    } catch (ConnectionRequestTimeoutException e) {
      throw new BackendException(
          CallResult.CANCELLED, ErrorKind.NO_BACKEND_SERVER, "no connection was free", e);
    } catch (SocketTimeoutException e) {
      throw new BackendException(
          CallResult.FAILURE,
          ErrorKind.BACKEND_TIMEOUT,
          String.format("no response within %d ms", request.timeout().toMillis()),
          e);
    } catch (IOException e) {
      if (waiting.isUnresponsive()) {
        throw new BackendException(
            CallResult.DISCONNECTED,
            ErrorKind.BACKEND_TIMEOUT,
            "the connection was unresponsive",
            e);
      }
      CallResult result = sent.isCancelled() ? CallResult.CANCELLED : CallResult.FAILURE;
      throw new BackendException(
          result, ErrorKind.BACKEND_FAILED, "the connection failed before the response", e);
    } catch (IllegalStateException e) {
      // The HTTP client throws this when a request is cancelled while it connects.
      if (!sent.isCancelled()) {
        throw e;
      }
      throw new BackendException(
          CallResult.CANCELLED, ErrorKind.BACKEND_FAILED, "the request was cancelled", e);
    }
  }

  private void checkResponse(Permit permit, BackendRequest request, BackendResponse response)
      throws BackendException {
    String bootId = response.header(BOOT_ID_HEADER);
    if (bootId != null) {
      scheduler.onBootId(permit.backend().id(), bootId, nanoClock.getAsLong());
    }
    String echoed = response.header(REQUEST_ID_HEADER);
    if (echoed != null && !echoed.equals(request.requestId().value())) {
      throw new BackendException(
          CallResult.FAILURE,
          ErrorKind.BACKEND_FAILED,
          String.format(
              "the response is for request \"%s\" instead of \"%s\"",
              echoed, request.requestId().value()));
    }
    boolean notAdmitted = "false".equals(response.header(ADMITTED_HEADER));
    if (notAdmitted && response.status() == SERVICE_UNAVAILABLE) {
      throw new BackendException(
          CallResult.WARMING, ErrorKind.NO_BACKEND_SERVER, "the backend server is starting");
    }
  }
}
