package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.state.fleet.BackendServer;

/** One attempt of a caller's request at one backend server: reads the response and reports it. */
final class BackendAttempt implements BackendResponseHandler, ResponseBuffer {
  /** The most bytes of a whole response that are buffered. */
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private final ForwardServices services;
  private final BackendServer backend;
  private final String requestId;
  private final boolean conditional;
  private final Predicate<HttpResponse> isStream;
  private final Listener listener;
  private final EventStream events = new EventStream();
  private final ByteBuf body = Unpooled.buffer(0);
  private BackendConnections.Cancellation cancellation = () -> {};
  private Optional<HttpResponse> response = Optional.empty();
  private Optional<PlacementResult> notRunResult = Optional.empty();
  private boolean impliesNotRun;
  private boolean streaming;
  private boolean responseBegan;
  private long sentNanos;
  private OptionalLong firstPartNanos = OptionalLong.empty();
  private int eventCount;
  private boolean ended;

  /** Receives what an attempt reports; exactly one of the calls but the first three ends it. */
  interface Listener {
    /** Called when a part of the response was received, before its events. */
    void onProgress(BackendAttempt attempt, boolean streaming);

    /** Called for each complete event of a stream. */
    void onEvent(HttpResponse response, EventStream.Event event);

    /** Called when a connection ended before the response began, before the attempt's end. */
    void onEndedBeforeResponse(BackendAttempt attempt);

    /** Called when a stream ended after a complete event. */
    void onStreamComplete(BackendAttempt attempt, HttpResponse response);

    /** Called when a response that is no stream is complete; the callee releases the body. */
    void onResponseComplete(BackendAttempt attempt, HttpResponse response, ByteBuf body);

    /** Called when the response is lost, and the request may have run. */
    void onLost(BackendAttempt attempt, LossCause cause);

    /** Called when the request certainly did not run. */
    void onNotRun(BackendAttempt attempt, PlacementResult result);
  }

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param conditional whether the request states which backend servers may run it
   * @param isStream whether a response to a request that ran is part of an event stream
   */
  BackendAttempt(
      ForwardServices services,
      BackendServer backend,
      String requestId,
      boolean conditional,
      Predicate<HttpResponse> isStream,
      Listener listener) {
    this.services = checkNotNull(services, "services");
    this.backend = checkNotNull(backend, "backend");
    this.requestId = checkNotNull(requestId, "requestId");
    this.conditional = conditional;
    this.isStream = checkNotNull(isStream, "isStream");
    this.listener = checkNotNull(listener, "listener");
  }

  BackendServer backend() {
    return backend;
  }

  /** Returns what was seen of the response. */
  RunReport report() {
    return new RunReport(responseBegan, firstPartNanos, eventCount);
  }

  /** Sends the request; the connection releases it. */
  void send(FullHttpRequest request) {
    sentNanos = services.nanoClock().getAsLong();
    cancellation = services.connections().send(backend, request, this);
  }

  /** Cancels the attempt unless it has ended; nothing more is reported. */
  void cancel() {
    if (!ended) {
      end();
      cancellation.cancel();
    }
  }

  private void end() {
    ended = true;
    services.buffers().release(this);
  }

  /** Returns how many bytes of the response are kept. */
  int bufferedBytes() {
    return body.capacity() + events.bufferedBytes();
  }

  @Override
  public String requestId() {
    return requestId;
  }

  @Override
  public void onHeaders(HttpResponse received, ResponseAttributes responseAttributes) {
    response = Optional.of(received);
    notRunResult = responseAttributes.notRunResult(conditional);
    impliesNotRun = responseAttributes.impliesNotRun();
    streaming = notRunResult.isEmpty() && isStream.test(received);
    listener.onProgress(this, streaming);
  }

  @Override
  public void onBody(ByteBuf part) {
    recordFirstPart();
    listener.onProgress(this, streaming);
    if (!streaming) {
      readWholeResponse(part);
      return;
    }
    for (EventStream.Event event : events.append(part)) {
      responseBegan = true;
      eventCount++;
      listener.onEvent(response.get(), event);
    }
    if (events.isTooLong()) {
      giveUp();
    } else if (!ended) {
      services.hold(this, bufferedBytes());
    }
  }

  private void recordFirstPart() {
    if (firstPartNanos.isEmpty()) {
      firstPartNanos = OptionalLong.of(services.nanoClock().getAsLong() - sentNanos);
    }
  }

  private void readWholeResponse(ByteBuf part) {
    if (body.readableBytes() + part.readableBytes() > MAX_RESPONSE_BYTES) {
      giveUp();
    } else {
      body.writeBytes(part);
      services.hold(this, bufferedBytes());
    }
  }

  @Override
  public void giveUp() {
    if (!ended) {
      cancel();
      listener.onLost(this, LossCause.TOO_LONG);
    }
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    end();
    if (notRunResult.isPresent()) {
      listener.onNotRun(this, notRunResult.get());
    } else if (impliesNotRun) {
      listener.onLost(this, LossCause.UNCONFIRMED_REFUSAL);
    } else if (streaming) {
      endStream();
    } else {
      endWholeResponse();
    }
  }

  private void endStream() {
    reportUnlessBegan();
    boolean mayBeCut = !responseBegan && !BackendConnections.isFramed(response.get());
    if (events.isInsideEvent() || mayBeCut) {
      listener.onLost(this, LossCause.INCOMPLETE_STREAM);
    } else {
      listener.onStreamComplete(this, response.get());
    }
  }

  private void endWholeResponse() {
    if (BackendConnections.isFramed(response.get())) {
      responseBegan = isSuccess(response.get());
    } else {
      // The end of the connection may be that of the server.
      reportUnlessBegan();
    }
    listener.onResponseComplete(this, response.get(), body);
  }

  private static boolean isSuccess(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.SUCCESS;
  }

  private void reportUnlessBegan() {
    if (!responseBegan) {
      listener.onEndedBeforeResponse(this);
    }
  }

  @Override
  public void onNotSent() {
    if (!ended) {
      end();
      listener.onNotRun(this, PlacementResult.LEAVING);
    }
  }

  @Override
  public void onBroken(boolean sent, LossCause cause) {
    if (ended) {
      return;
    }
    end();
    if (notRunResult.isPresent()) {
      listener.onNotRun(this, notRunResult.get());
    } else if (sent) {
      reportUnlessBegan();
      listener.onLost(this, cause);
    } else {
      listener.onNotRun(this, PlacementResult.FAILED);
    }
  }
}
