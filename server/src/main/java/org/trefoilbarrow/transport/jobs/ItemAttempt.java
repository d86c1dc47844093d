package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.transport.forward.BackendConnections;
import org.trefoilbarrow.transport.forward.BackendResponseHandler;
import org.trefoilbarrow.transport.forward.EventStream;
import org.trefoilbarrow.transport.forward.ForwardServices;
import org.trefoilbarrow.transport.forward.LossCause;
import org.trefoilbarrow.transport.forward.ResponseAttributes;
import org.trefoilbarrow.transport.forward.ResponseBuffer;

/** One attempt of a batch item at one backend server: reads the response into the output. */
final class ItemAttempt implements BackendResponseHandler, ResponseBuffer {
  /** The most bytes that are read of a response that is no output, such as an error's text. */
  private static final long MAX_IGNORED_BYTES = 1 << 16;

  /** The most bytes of a stream, with the identifiers of its events, for one of the output. */
  private static final long MAX_BYTES_PER_CHARACTER = 16;

  private final ForwardServices services;
  private final JobItem item;
  private final ImmutableList<PromptPartId> promptParts;
  private final BackendServer backend;
  private final ItemOutput output;
  private final LongSupplier maxOutputCharacters;
  private final Listener listener;
  private final EventStream events = new EventStream();
  private final long sentNanos;
  private long lastProgressNanos;
  private BackendConnections.Cancellation cancellation = () -> {};
  private int status;
  private Optional<String> type = Optional.empty();
  private Optional<PlacementResult> notRunResult = Optional.empty();
  private boolean responseBegan;
  private OptionalLong firstPartNanos = OptionalLong.empty();
  private int eventCount;
  private long receivedBytes;
  private boolean framed;
  private boolean ended;

  /** Receives what an attempt reports; each call but the first ends it. */
  interface Listener {
    /** Called for each complete event. */
    void onEvent();

    /** Called when the response, or the output, is longer than any may be. */
    void onTooLong(ItemAttempt attempt);

    /** Called when the output is complete. */
    void onOutputComplete(ItemAttempt attempt);

    /** Called when a response is complete that does not complete the output. */
    void onOtherResponse(ItemAttempt attempt, int status);

    /** Called when the response is lost. */
    void onLost(ItemAttempt attempt, PlacementResult result, LossCause cause);

    /** Called when the item certainly did not run. */
    void onNotRun(ItemAttempt attempt, PlacementResult result);
  }

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param output receives the events of the response
   * @param maxOutputCharacters the longest output that can be kept, which may fall during a run
   */
  ItemAttempt(
      ForwardServices services,
      JobItem item,
      ImmutableList<PromptPartId> promptParts,
      BackendServer backend,
      ItemOutput output,
      LongSupplier maxOutputCharacters,
      Listener listener) {
    this.services = checkNotNull(services, "services");
    this.item = checkNotNull(item, "item");
    this.promptParts = checkNotNull(promptParts, "promptParts");
    this.backend = checkNotNull(backend, "backend");
    this.output = checkNotNull(output, "output");
    this.maxOutputCharacters = checkNotNull(maxOutputCharacters, "maxOutputCharacters");
    this.listener = checkNotNull(listener, "listener");
    this.sentNanos = now();
    this.lastProgressNanos = sentNanos;
  }

  /** Sends the request; the connection releases it. */
  void send(FullHttpRequest request) {
    cancellation = services.connections().send(backend, request, this);
  }

  private long now() {
    return services.nanoClock().getAsLong();
  }

  BackendServer backend() {
    return backend;
  }

  /** Returns when the attempt was sent. */
  long sentNanos() {
    return sentNanos;
  }

  /** Returns when something was received last; {@link #sentNanos} if nothing was. */
  long lastProgressNanos() {
    return lastProgressNanos;
  }

  /** Returns what was seen of the response. */
  RunReport report() {
    return new RunReport(responseBegan, firstPartNanos, eventCount);
  }

  /** Returns whether the response may begin the output or go on with it. */
  boolean continuesOutput() {
    return output.isContinuedBy(status, type);
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

  @Override
  public String requestId() {
    return item.id();
  }

  @Override
  public void giveUp() {
    if (!ended) {
      listener.onTooLong(this);
    }
  }

  @Override
  public void onHeaders(HttpResponse response, ResponseAttributes attributes) {
    lastProgressNanos = now();
    status = response.status().code();
    type = EventStream.typeOf(response);
    framed = BackendConnections.isFramed(response);
    notRunResult = attributes.notRunResult(services.dialect().isConditional(item));
  }

  @Override
  public void onBody(ByteBuf part) {
    lastProgressNanos = now();
    if (firstPartNanos.isEmpty()) {
      firstPartNanos = OptionalLong.of(lastProgressNanos - sentNanos);
    }
    receivedBytes += part.readableBytes();
    if (continuesOutput()) {
      readEvents(part);
    } else if (receivedBytes > MAX_IGNORED_BYTES) {
      giveUp();
    }
  }

  private void readEvents(ByteBuf part) {
    for (EventStream.Event event : events.append(part)) {
      responseBegan = true;
      eventCount++;
      listener.onEvent();
      output.append(event, type);
    }
    long maxOutput = maxOutputCharacters.getAsLong();
    if (events.isTooLong()
        || output.length() > maxOutput
        || receivedBytes > MAX_BYTES_PER_CHARACTER * maxOutput) {
      giveUp();
    } else {
      services.hold(this, (long) output.length() * Character.BYTES + events.bufferedBytes());
    }
  }

  @Override
  public void onEnd() {
    end();
    if (!framed) {
      checkServerUnlessBegan();
    }
    if (notRunResult.isPresent()) {
      listener.onNotRun(this, notRunResult.get());
    } else if (completesOutput()) {
      listener.onOutputComplete(this);
    } else {
      listener.onOtherResponse(this, status);
    }
  }

  private boolean completesOutput() {
    return continuesOutput()
        && !events.isInsideEvent()
        && output.lastEventId().isPresent()
        && (responseBegan || framed);
  }

  private void checkServerUnlessBegan() {
    if (notRunResult.isEmpty() && !responseBegan) {
      services.serverEnds().broken(backend, promptParts);
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
    end();
    if (sent) {
      checkServerUnlessBegan();
    }
    listener.onLost(this, notRunResult.orElse(PlacementResult.FAILED), cause);
  }
}
