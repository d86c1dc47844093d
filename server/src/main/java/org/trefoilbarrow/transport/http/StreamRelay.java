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
 * Relays a streamed response to the caller as it arrives.
 *
 * <p>If the stream of the backend server ends without the end marker, the caller receives an error
 * event and no marker, so that it does not treat an incomplete response as complete.
 */
final class StreamRelay implements StreamingOutput {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final byte[] END_MARKER = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
  private static final int BUFFER_BYTES = 16 << 10;

  /** The length of the end of the stream that is searched for the end marker, in bytes. */
  private static final int TAIL_BYTES = 32;

  private final OpenResponse response;
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
   * @param first the first bytes of the body, which were read already
   * @param startNanos the time at which the request arrived
   */
  StreamRelay(
      OpenResponse response,
      InputStream body,
      byte[] first,
      RunningCalls.RunningCall running,
      OrganisationMetrics.ForOrganisation metrics,
      RequestId requestId,
      long startNanos) {
    this.response = response;
    this.body = body;
    this.first = first;
    this.running = running;
    this.metrics = metrics;
    this.requestId = requestId;
    this.startNanos = startNanos;
  }

  /** Reads the first bytes of a body; returns an empty array if the body is empty. */
  static byte[] readFirst(InputStream body) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    int readCount = body.read(buffer);
    return readCount <= 0 ? new byte[0] : Arrays.copyOf(buffer, readCount);
  }

  @Override
  public void write(OutputStream output) throws IOException {
    try (response;
        running) {
      forward(first, first.length, output);
      ErrorKind error = copy(output);
      if (error == null) {
        response.finish();
        metrics.onServed(WorkClass.ONLINE, System.nanoTime() - startNanos);
        return;
      }
      metrics.onFailed();
      writeError(error, output);
    }
  }

  /** Copies the rest of the body; returns the error that ended it, or null if it was complete. */
  private @Nullable ErrorKind copy(OutputStream output) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    long lastReadNanos = System.nanoTime();
    while (true) {
      int readCount;
      try {
        readCount = body.read(buffer);
      } catch (IOException e) {
        logger.atFine().withCause(e).log(
            "online: the stream of request %s failed before its end marker", requestId);
        response.fail();
        return running.abortReason().orElse(ErrorKind.BACKEND_FAILED);
      }
      if (readCount < 0) {
        break;
      }
      running.onProgress();
      long nowNanos = System.nanoTime();
      metrics.onChunk(nowNanos - lastReadNanos);
      lastReadNanos = nowNanos;
      forward(buffer, readCount, output);
    }
    if (endsWithMarker()) {
      return null;
    }
    response.fail();
    return running.abortReason().orElse(ErrorKind.BACKEND_FAILED);
  }

  private void forward(byte[] bytes, int length, OutputStream output) throws IOException {
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
    String message = "the response ended before it was complete";
    ErrorResponse error = ErrorResponse.of(kind, message, requestId.value());
    String event = "\n\ndata: " + JsonCodec.encode(error) + "\n\n";
    output.write(event.getBytes(StandardCharsets.UTF_8));
    output.flush();
  }
}
