package org.trefoilbarrow.transport.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.trefoilbarrow.coordination.backend.CallResult;
import org.trefoilbarrow.coordination.backend.Permit;
import org.trefoilbarrow.protocol.RequestId;

/** Sends the requests of batch items, whose permits may be revoked. Thread-safe. */
public final class BatchCalls {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String JSON = "application/json";

  private final BackendClient client;
  private final PermitQueue permits;
  private final int maxAnswerBytes;

  /** Creates a sender of batch requests. */
  public BatchCalls(BackendClient client, PermitQueue permits, int maxAnswerBytes) {
    this.client = checkNotNull(client, "client");
    this.permits = checkNotNull(permits, "permits");
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Cancels one request from another thread. Thread-safe. */
  public static final class Handle {
    private boolean cancelled;
    private Runnable abort = () -> {};

    /** Cancels the request; one that was not sent yet is not sent. */
    public void cancel() {
      Runnable current;
      synchronized (this) {
        cancelled = true;
        current = abort;
      }
      current.run();
    }

    /** Returns whether the request was cancelled. */
    public synchronized boolean isCancelled() {
      return cancelled;
    }

    private void onSending(Runnable abortRequest) {
      boolean alreadyCancelled;
      synchronized (this) {
        abort = abortRequest;
        alreadyCancelled = cancelled;
      }
      if (alreadyCancelled) {
        abortRequest.run();
      }
    }
  }

  /**
   * The result of a request.
   *
   * @param response the full response, if there is one
   * @param notRun whether no backend server has run the request
   * @param cause why there is no response
   */
  public record Result(Optional<FullResponse> response, boolean notRun, String cause) {}

  /** Sends a request, reads its full response and releases the permit. */
  public Result send(Permit permit, Handle handle, RequestId id, byte[] body, Duration timeout) {
    BackendRequest request = BackendRequest.of(id, "POST", CHAT_PATH, JSON, body, true, timeout);
    CallResult result = CallResult.CANCELLED;
    try (BackendResponse response = client.send(permit, request, handle::onSending)) {
      byte[] bytes = BackendClient.readFully(response, maxAnswerBytes);
      result = CallResult.SUCCESS;
      return new Result(
          Optional.of(new FullResponse(response.status(), response.contentType(), bytes)),
          false,
          "");
    } catch (BackendException e) {
      result = handle.isCancelled() ? CallResult.CANCELLED : e.result();
      return new Result(Optional.empty(), e.isNotRun(), e.getMessage());
    } catch (IOException e) {
      result = CallResult.FAILURE;
      return new Result(Optional.empty(), false, "the connection failed");
    } finally {
      permits.release(permit, result);
    }
  }
}
