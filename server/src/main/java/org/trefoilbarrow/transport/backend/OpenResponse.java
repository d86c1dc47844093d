package org.trefoilbarrow.transport.backend;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.backend.CallResult;

/**
 * An answer that is being read, together with its permit.
 *
 * <p>It must be ended by {@link #finish} once read whole, and closed in any case. {@link #abort}
 * may be called from any thread.
 */
public final class OpenResponse implements AutoCloseable {
  private final BackendResponse answer;
  private final Consumer<CallResult> releasePermit;
  private final AtomicBoolean released = new AtomicBoolean();

  OpenResponse(BackendResponse answer, Consumer<CallResult> releasePermit) {
    this.answer = answer;
    this.releasePermit = releasePermit;
  }

  BackendResponse answer() {
    return answer;
  }

  /** Returns the HTTP status. */
  public int status() {
    return answer.status();
  }

  /** Returns the content type, or null when there is none. */
  public @Nullable String contentType() {
    return answer.contentType();
  }

  /** Returns the body; reading it fails when the answer ends before it is whole. */
  public InputStream body() throws IOException {
    return answer.body();
  }

  /** Records that the answer was read whole, and returns the connection and the permit. */
  public void finish() {
    try {
      answer.close();
    } catch (IOException e) {
      answer.abort();
    }
    release(CallResult.SUCCESS);
  }

  /** Records that the answer broke, and returns the permit. */
  public void fail() {
    answer.abort();
    release(CallResult.FAILURE);
  }

  /** Ends the request: the backend server sees its connection closed. */
  public void abort() {
    answer.abort();
  }

  @Override
  public void close() {
    if (!released.get()) {
      answer.abort();
      release(CallResult.CANCELLED);
    }
  }

  private void release(CallResult result) {
    if (released.compareAndSet(false, true)) {
      releasePermit.accept(result);
    }
  }
}
