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
 * Sends requests to backend servers.
 *
 * <p>The caller's key is never among the headers. An answer with another request id than the one
 * sent is an error. A request that may not be repeated goes over a new connection, so that a pooled
 * connection that died unseen cannot leave it in doubt. Thread-safe.
 */
public final class BackendClient {
  static final String REQUEST_ID_HEADER = "X-Request-Id";
  static final String BOOT_ID_HEADER = "X-Boot-Id";
  static final String ADMITTED_HEADER = "X-Admitted";

  private static final int UNAVAILABLE = 503;

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
   * @param connectTimeout how long opening a connection may take
   * @param connectionsForEachServer the most connections to one backend server
   */
  public BackendClient(
      PermitScheduler scheduler,
      Duration connectTimeout,
      int connectionsForEachServer,
      LongSupplier nanoClock) {
    this.connections = HttpClients.connections(connectTimeout, connectionsForEachServer);
    this.pooled = HttpClients.pooled(connections);
    this.unpooled = HttpClients.unpooled(connectTimeout, connectionsForEachServer);
    this.scheduler = checkNotNull(scheduler, "scheduler");
    this.connectTimeout = checkNotNull(connectTimeout, "connectTimeout");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /**
   * Sends a request and returns its answer once the status and headers are there.
   *
   * @param onSending takes the means to abort the request, before it is sent
   */
  BackendResponse send(Permit permit, BackendRequest request, Consumer<Runnable> onSending)
      throws BackendException {
    HttpUriRequestBase sent = newRequest(permit, request);
    onSending.accept(sent::cancel);
    ClassicHttpResponse response;
    try (RequestsInFlight.InFlight waiting =
        inFlight.begin(permit.backend().id(), sent, request.idempotent(), nanoClock.getAsLong())) {
      response = execute(sent, request, waiting);
    }
    BackendResponse answer = new BackendResponse(sent, response);
    boolean accepted = false;
    try {
      check(permit, request, answer);
      accepted = true;
      return answer;
    } finally {
      if (!accepted) {
        answer.abort();
      }
    }
  }

  /**
   * Ends what uses the connections that were open at the given time: they are silent, while new
   * ones work. Requests that wait for an answer there and may be repeated fail, so that they are
   * sent again; one that may not be repeated waits on, since its answer may still come.
   */
  public void onUnresponsiveConnections(BackendServerId backend, long openedBeforeNanos) {
    connections.closeIdle(TimeValue.ZERO_MILLISECONDS);
    inFlight.endSentBefore(backend, openedBeforeNanos);
  }

  /** Reads the whole body of an answer. */
  static byte[] readWhole(BackendResponse answer, int maxBytes) throws BackendException {
    try (InputStream body = answer.body()) {
      byte[] bytes = ByteStreams.limit(body, maxBytes + 1L).readAllBytes();
      if (bytes.length > maxBytes) {
        answer.abort();
        throw new BackendException(
            CallResult.SUCCESS,
            ErrorKind.BACKEND_FAILED,
            String.format("the answer is longer than %d bytes", maxBytes));
      }
      return bytes;
    } catch (IOException e) {
      answer.abort();
      throw brokenAnswer(e);
    }
  }

  static BackendException brokenAnswer(IOException cause) {
    boolean late = cause instanceof SocketTimeoutException;
    return new BackendException(
        CallResult.FAILURE,
        late ? ErrorKind.BACKEND_TIMEOUT : ErrorKind.BACKEND_FAILED,
        late ? "the answer stalled" : "the answer ended before it was whole",
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
          String.format("no answer within %d ms", request.timeout().toMillis()),
          e);
    } catch (IOException e) {
      if (waiting.isSilent()) {
        throw new BackendException(
            CallResult.DISCONNECTED, ErrorKind.BACKEND_TIMEOUT, "the connection went silent", e);
      }
      CallResult result = sent.isCancelled() ? CallResult.CANCELLED : CallResult.FAILURE;
      throw new BackendException(
          result, ErrorKind.BACKEND_FAILED, "the connection broke before the answer", e);
    } catch (IllegalStateException e) {
      // The client reports a request that was cancelled while it connected in this way.
      if (!sent.isCancelled()) {
        throw e;
      }
      throw new BackendException(
          CallResult.CANCELLED, ErrorKind.BACKEND_FAILED, "the request was cancelled", e);
    }
  }

  private void check(Permit permit, BackendRequest request, BackendResponse answer)
      throws BackendException {
    String bootId = answer.header(BOOT_ID_HEADER);
    if (bootId != null) {
      scheduler.onBootId(permit.backend().id(), bootId, nanoClock.getAsLong());
    }
    String echoed = answer.header(REQUEST_ID_HEADER);
    if (echoed != null && !echoed.equals(request.requestId().value())) {
      throw new BackendException(
          CallResult.FAILURE,
          ErrorKind.BACKEND_FAILED,
          String.format("the answer is for request \"%s\"", echoed));
    }
    boolean refused = "false".equals(answer.header(ADMITTED_HEADER));
    if (refused && answer.status() == UNAVAILABLE) {
      throw new BackendException(
          CallResult.WARMING, ErrorKind.NO_BACKEND_SERVER, "the backend server is starting");
    }
  }
}
