package org.trefoilbarrow.transport.http;

import com.google.common.flogger.FluentLogger;
import jakarta.ws.rs.core.StreamingOutput;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.backend.WorkClass;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ErrorResponse;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.RequestId;
import org.trefoilbarrow.transport.backend.OpenResponse;

/**
 * Passes a streamed answer on as it arrives.
 *
 * <p>A stream that does not end with its end marker ends with an error event and without the
 * marker, so that no caller takes a part for the whole.
 */
final class StreamRelay implements StreamingOutput {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final byte[] END_MARKER = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
  private static final int BUFFER_BYTES = 16 << 10;

  /** The tail of the stream in which the end marker is looked for, in bytes. */
  private static final int TAIL_BYTES = 32;

  private final OpenResponse answer;
  private final InputStream body;
  private final byte[] first;
  private final RunningCalls.RunningCall running;
  private final OrganisationMetrics.ForOrganisation metrics;
  private final RequestId requestId;
  private final long startNanos;
  private byte[] tail = new byte[0];

  /**
   * Creates a relay.
   *
   * @param first the first bytes of the body, read already
   * @param startNanos when the request arrived
   */
  StreamRelay(
      OpenResponse answer,
      InputStream body,
      byte[] first,
      RunningCalls.RunningCall running,
      OrganisationMetrics.ForOrganisation metrics,
      RequestId requestId,
      long startNanos) {
    this.answer = answer;
    this.body = body;
    this.first = first;
    this.running = running;
    this.metrics = metrics;
    this.requestId = requestId;
    this.startNanos = startNanos;
  }

  /** Returns the first bytes of a body; empty if the body is empty. */
  static byte[] readFirst(InputStream body) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    int read = body.read(buffer);
    return read <= 0 ? new byte[0] : Arrays.copyOf(buffer, read);
  }

  @Override
  public void write(OutputStream output) throws IOException {
    try (answer;
        running) {
      pass(first, first.length, output);
      ErrorKind broken = copy(output);
      if (broken == null) {
        answer.finish();
        metrics.onServed(WorkClass.ONLINE, System.nanoTime() - startNanos);
        return;
      }
      metrics.onFailed();
      writeError(broken, output);
    }
  }

  /** Copies the rest of the body; returns how it broke, or null if it was whole. */
  private @Nullable ErrorKind copy(OutputStream output) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    long last = System.nanoTime();
    while (true) {
      int read;
      try {
        read = body.read(buffer);
      } catch (IOException e) {
        logger.atFine().withCause(e).log("online: the stream of %s broke", requestId);
        answer.fail();
        return running.ended().orElse(ErrorKind.BACKEND_FAILED);
      }
      if (read < 0) {
        break;
      }
      running.onProgress();
      long now = System.nanoTime();
      metrics.onChunk(now - last);
      last = now;
      pass(buffer, read, output);
    }
    if (endsWithMarker()) {
      return null;
    }
    answer.fail();
    return running.ended().orElse(ErrorKind.BACKEND_FAILED);
  }

  private void pass(byte[] bytes, int length, OutputStream output) throws IOException {
    output.write(bytes, 0, length);
    output.flush();
    int keep = Math.min(TAIL_BYTES, length);
    byte[] joined = Arrays.copyOf(tail, tail.length + keep);
    System.arraycopy(bytes, length - keep, joined, tail.length, keep);
    tail = Arrays.copyOfRange(joined, Math.max(0, joined.length - TAIL_BYTES), joined.length);
  }

  private boolean endsWithMarker() {
    String end = new String(tail, StandardCharsets.ISO_8859_1).stripTrailing();
    return end.endsWith(new String(END_MARKER, StandardCharsets.ISO_8859_1));
  }

  private void writeError(ErrorKind kind, OutputStream output) throws IOException {
    String message = "the answer ended before it was whole";
    ErrorResponse error = ErrorResponse.of(kind, message, requestId.value());
    String event = "\n\ndata: " + JsonCodec.encode(error) + "\n\n";
    output.write(event.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
