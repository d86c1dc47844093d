package org.trefoilbarrow.transport.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.backend.CallResult;
import org.trefoilbarrow.coordination.backend.Permit;
import org.trefoilbarrow.coordination.backend.PermitRequest;
import org.trefoilbarrow.coordination.retry.RetryBudget;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.RouteTarget;
import org.trefoilbarrow.protocol.ServiceException;

/**
 * Sends online requests to backend servers and retries them.
 *
 * <p>A request is retried, at another backend server, if it certainly did not run, or if it is
 * idempotent and no byte of a response was passed on; in both cases only within the retry budget of
 * the route. Thread-safe.
 */
public final class OnlineDispatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_ATTEMPTS = 4;

  private final PermitQueue permits;
  private final BackendClient client;
  private final int maxAnswerBytes;
  private final double retriesForEachRequest;
  private final double maxSavedRetries;
  private final LongSupplier nanoClock;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Turns an open response into the result of a call; runs once for each attempt. */
  @FunctionalInterface
  private interface ResponseReader<T> {
    T read(OpenResponse response) throws BackendException;
  }

  /** Creates a dispatcher; {@link RetryBudget} explains the parameters of the retry budget. */
  public OnlineDispatcher(
      PermitQueue permits,
      BackendClient client,
      int maxAnswerBytes,
      double retriesForEachRequest,
      double maxSavedRetries,
      LongSupplier nanoClock) {
    this.permits = checkNotNull(permits, "permits");
    this.client = checkNotNull(client, "client");
    this.maxAnswerBytes = maxAnswerBytes;
    this.retriesForEachRequest = retriesForEachRequest;
    this.maxSavedRetries = maxSavedRetries;
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /**
   * Sends a request and returns its full response.
   *
   * @param onSending receives an action that aborts the attempt, before each attempt
   * @throws ServiceException if there is no full response
   */
  public FullResponse call(OnlineCall call, Consumer<Runnable> onSending)
      throws InterruptedException {
    return dispatch(
        call,
        onSending,
        response -> {
          byte[] body = BackendClient.readFully(response.response(), maxAnswerBytes);
          response.finish();
          return new FullResponse(response.status(), response.contentType(), body);
        });
  }

  /**
   * Sends a request and returns its response, with the body still to be read. The caller must close
   * it.
   *
   * @param onSending receives an action that aborts the attempt, before each attempt
   * @throws ServiceException if there is no response
   */
  public OpenResponse open(OnlineCall call, Consumer<Runnable> onSending)
      throws InterruptedException {
    return dispatch(call, onSending, response -> response);
  }

  private <T> T dispatch(OnlineCall call, Consumer<Runnable> onSending, ResponseReader<T> reader)
      throws InterruptedException {
    RetryBudget budget =
        budgets.computeIfAbsent(
            call.route(), unused -> new RetryBudget(retriesForEachRequest, maxSavedRetries));
    budget.onFirstAttempt();
    long deadlineNanos = nanoClock.getAsLong() + call.request().timeout().toNanos();
    Set<BackendServerId> excluded = new HashSet<>();
    BackendException mayHaveRun = null;
    BackendRequest request = call.request();
    for (int attempt = 1; ; attempt++) {
      Permit permit = acquire(call, excluded, deadlineNanos, mayHaveRun);
      try {
        return attempt(request, permit, onSending, reader);
      } catch (BackendException e) {
        mayHaveRun = e.isNotRun() ? mayHaveRun : e;
        boolean safeToRetry = e.isNotRun() || request.idempotent();
        boolean retryAllowed = attempt < MAX_ATTEMPTS && nanoClock.getAsLong() < deadlineNanos;
        if (e.result() == CallResult.CANCELLED
            || !safeToRetry
            || !retryAllowed
            || !budget.tryRetry()) {
          BackendException reported = mayHaveRun == null ? e : mayHaveRun;
          throw new ServiceException(reported.kind(), reported, reported.getMessage());
        }
        logger.atFine().log("online: retrying request %s: %s", request.requestId(), e.getMessage());
        request = request.asRetry();
        if (e.result() != CallResult.DISCONNECTED) {
          excluded.add(permit.backend().id());
        }
      }
    }
  }

  /**
   * Waits for a permit.
   *
   * @param mayHaveRun the failure of an earlier attempt that may have run, which is then thrown if
   *     there is no permit
   */
  private Permit acquire(
      OnlineCall call,
      Set<BackendServerId> excluded,
      long deadlineNanos,
      @Nullable BackendException mayHaveRun)
      throws InterruptedException {
    Duration timeout = Duration.ofNanos(Math.max(0, deadlineNanos - nanoClock.getAsLong()));
    PermitRequest permitRequest =
        new PermitRequest(
            permits.newRequestId(),
            RouteTarget.of(call.spec().target()),
            call.organisation(),
            call.weight(),
            call.maxQueued(),
            excluded,
            call.affinity());
    try {
      return permits
          .acquire(permitRequest, timeout)
          .orElseThrow(
              () ->
                  new ServiceException(
                      ErrorKind.NO_BACKEND_SERVER,
                      "no permit for \"%s\" became free in time",
                      call.spec().target()));
    } catch (ServiceException e) {
      if (mayHaveRun == null) {
        throw e;
      }
      throw new ServiceException(mayHaveRun.kind(), mayHaveRun, mayHaveRun.getMessage());
    }
  }

  private <T> T attempt(
      BackendRequest request, Permit permit, Consumer<Runnable> onSending, ResponseReader<T> reader)
      throws BackendException {
    CallResult result = CallResult.CANCELLED;
    OpenResponse response = null;
    boolean handedOver = false;
    try {
      BackendResponse sent = client.send(permit, request, onSending);
      response = new OpenResponse(sent, ended -> permits.release(permit, ended));
      T value = reader.read(response);
      handedOver = true;
      return value;
    } catch (BackendException e) {
      result = e.result();
      throw e;
    } finally {
      if (!handedOver) {
        if (response == null) {
          permits.release(permit, result);
        } else if (result == CallResult.FAILURE) {
          response.fail();
        } else {
          response.close();
        }
      }
    }
  }
}
