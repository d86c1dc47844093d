package org.trefoilbarrow.transport.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.trefoilbarrow.coordination.backend.CallResult;
import org.trefoilbarrow.coordination.backend.Permit;
import org.trefoilbarrow.protocol.RequestId;

/** Sends the requests of batch items with permits that may be revoked. Thread-safe. */
public final class BatchCalls {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String JSON = "application/json";

  private final BackendClient client;
  private final PermitQueue gate;
  private final int maxAnswerBytes;

  /** Creates a sender of batch requests. */
  public BatchCalls(BackendClient client, PermitQueue gate, int maxAnswerBytes) {
    this.client = checkNotNull(client, "client");
    this.gate = checkNotNull(gate, "gate");
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Ends one request from outside. Thread-safe. */
  public static final class Handle {
    private boolean cancelled;
    private Runnable abort = () -> {};

    /** Ends the request; one that was not sent yet is not sent. */
    public void cancel() {
      Runnable current;
      synchronized (this) {
        cancelled = true;
        current = abort;
      }
      current.run();
    }

    /** Returns whether the request was ended from outside. */
    public synchronized boolean isCancelled() {
      return cancelled;
    }

    private void onSending(Runnable abortRequest) {
      boolean late;
      synchronized (this) {
        abort = abortRequest;
        late = cancelled;
      }
      if (late) {
        abortRequest.run();
      }
    }
  }

  /**
   * What came of a request.
   *
   * @param answer the whole answer, if there is one
   * @param cause why there is none
   */
  public record Result(Optional<FullResponse> answer, String cause) {}

  /** Sends a request, reads its whole answer and gives the permit back. */
  public Result send(Permit permit, Handle handle, RequestId id, byte[] body, Duration timeout) {
    BackendRequest request = BackendRequest.of(id, "POST", CHAT_PATH, JSON, body, true, timeout);
    CallResult result = CallResult.CANCELLED;
    try (BackendResponse answer = client.send(permit, request, handle::onSending)) {
      byte[] bytes = BackendClient.readWhole(answer, maxAnswerBytes);
      result = CallResult.SUCCESS;
      return new Result(
          Optional.of(new FullResponse(answer.status(), answer.contentType(), bytes)), "");
    } catch (BackendException e) {
      result = handle.isCancelled() ? CallResult.CANCELLED : e.result();
      return new Result(Optional.empty(), e.getMessage());
    } catch (IOException e) {
      result = CallResult.FAILURE;
      return new Result(Optional.empty(), "the connection broke");
    } finally {
      gate.release(permit, result);
    }
  }
}
