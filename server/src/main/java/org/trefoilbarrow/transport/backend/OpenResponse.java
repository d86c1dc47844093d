package org.trefoilbarrow.transport.backend;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.backend.CallResult;

/**
 * A response whose body is still to be read, together with the permit of its request.
 *
 * <p>The caller must call {@link #finish} after reading the body in full, and close it in any case.
 * {@link #abort} may be called from any thread.
 */
public final class OpenResponse implements AutoCloseable {
  private final BackendResponse response;
  private final Consumer<CallResult> releasePermit;
  private final AtomicBoolean released = new AtomicBoolean();

  OpenResponse(BackendResponse response, Consumer<CallResult> releasePermit) {
    this.response = response;
    this.releasePermit = releasePermit;
  }

  BackendResponse response() {
    return response;
  }

  /** Returns the HTTP status. */
  public int status() {
    return response.status();
  }

  /** Returns the content type, or null if there is none. */
  public @Nullable String contentType() {
    return response.contentType();
  }

  /** Returns the body; reading it fails if the response ends before it is complete. */
  public InputStream body() throws IOException {
    return response.body();
  }

  /** Records that the body was read in full, and releases the connection and the permit. */
  public void finish() {
    try {
      response.close();
    } catch (IOException e) {
      response.abort();
    }
    release(CallResult.SUCCESS);
  }

  /** Records that reading failed; closes the connection and releases the permit. */
  public void fail() {
    response.abort();
    release(CallResult.FAILURE);
  }

  /** Aborts the request by closing the connection to the backend server. */
  public void abort() {
    response.abort();
  }

  @Override
  public void close() {
    if (!released.get()) {
      response.abort();
      release(CallResult.CANCELLED);
    }
  }

  private void release(CallResult result) {
    if (released.compareAndSet(false, true)) {
      releasePermit.accept(result);
    }
  }
}
