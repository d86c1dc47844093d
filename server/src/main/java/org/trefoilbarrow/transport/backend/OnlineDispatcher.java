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
 * Sends online requests to backend servers.
 *
 * <p>A request is sent again, to another backend server, if it certainly was not run, or if it is
 * idempotent and no byte of an answer was passed on; in both cases only under the route's retry
 * budget. Thread-safe.
 */
public final class OnlineDispatcher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_ATTEMPTS = 4;

  private final PermitQueue gate;
  private final BackendClient client;
  private final int maxAnswerBytes;
  private final double retriesForEachRequest;
  private final double maxSavedRetries;
  private final LongSupplier nanoClock;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Turns an open answer into the result of a call; runs once for each attempt. */
  @FunctionalInterface
  private interface AnswerReader<T> {
    T read(OpenResponse answer) throws BackendException;
  }

  /** Creates a dispatcher; the budget's numbers are those of {@link RetryBudget}. */
  public OnlineDispatcher(
      PermitQueue gate,
      BackendClient client,
      int maxAnswerBytes,
      double retriesForEachRequest,
      double maxSavedRetries,
      LongSupplier nanoClock) {
    this.gate = checkNotNull(gate, "gate");
    this.client = checkNotNull(client, "client");
    this.maxAnswerBytes = maxAnswerBytes;
    this.retriesForEachRequest = retriesForEachRequest;
    this.maxSavedRetries = maxSavedRetries;
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /**
   * Sends a request and returns its whole answer.
   *
   * @param onSending takes the means to abort each attempt
   * @throws ServiceException if there is no whole answer
   */
  public FullResponse call(OnlineCall call, Consumer<Runnable> onSending)
      throws InterruptedException {
    return dispatch(
        call,
        onSending,
        answer -> {
          byte[] body = BackendClient.readWhole(answer.answer(), maxAnswerBytes);
          answer.finish();
          return new FullResponse(answer.status(), answer.contentType(), body);
        });
  }

  /**
   * Sends a request and returns its answer as it begins. The caller must close it.
   *
   * @param onSending takes the means to abort each attempt
   * @throws ServiceException if no answer begins
   */
  public OpenResponse open(OnlineCall call, Consumer<Runnable> onSending)
      throws InterruptedException {
    return dispatch(call, onSending, answer -> answer);
  }

  private <T> T dispatch(OnlineCall call, Consumer<Runnable> onSending, AnswerReader<T> reader)
      throws InterruptedException {
    RetryBudget budget =
        budgets.computeIfAbsent(
            call.route(), unused -> new RetryBudget(retriesForEachRequest, maxSavedRetries));
    budget.onFirstAttempt();
    long deadline = nanoClock.getAsLong() + call.request().timeout().toNanos();
    Set<BackendServerId> excluded = new HashSet<>();
    BackendException mayHaveRun = null;
    BackendRequest request = call.request();
    for (int attempt = 1; ; attempt++) {
      Permit permit = acquire(call, excluded, deadline, mayHaveRun);
      try {
        return attempt(request, permit, onSending, reader);
      } catch (BackendException e) {
        mayHaveRun = e.isNotRun() ? mayHaveRun : e;
        boolean safe = e.isNotRun() || request.idempotent();
        boolean allowed = attempt < MAX_ATTEMPTS && nanoClock.getAsLong() < deadline;
        if (e.result() == CallResult.CANCELLED || !safe || !allowed || !budget.tryRetry()) {
          BackendException told = mayHaveRun == null ? e : mayHaveRun;
          throw new ServiceException(told.kind(), told, told.getMessage());
        }
        logger.atFine().log(
            "online: request %s is sent again: %s", request.requestId(), e.getMessage());
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
   * @param mayHaveRun an earlier attempt that may have run, which a refusal must then tell
   */
  private Permit acquire(
      OnlineCall call,
      Set<BackendServerId> excluded,
      long deadline,
      @Nullable BackendException mayHaveRun)
      throws InterruptedException {
    Duration left = Duration.ofNanos(Math.max(0, deadline - nanoClock.getAsLong()));
    PermitRequest demand =
        new PermitRequest(
            gate.newRequestId(),
            RouteTarget.of(call.spec().target()),
            call.organisation(),
            call.weight(),
            call.maxQueued(),
            excluded,
            call.affinity());
    try {
      return gate.acquire(demand, left)
          .orElseThrow(
              () ->
                  new ServiceException(
                      ErrorKind.NO_BACKEND_SERVER,
                      "no permit for \"%s\" came free in time",
                      call.spec().target()));
    } catch (ServiceException e) {
      if (mayHaveRun == null) {
        throw e;
      }
      throw new ServiceException(mayHaveRun.kind(), mayHaveRun, mayHaveRun.getMessage());
    }
  }

  private <T> T attempt(
      BackendRequest request, Permit permit, Consumer<Runnable> onSending, AnswerReader<T> reader)
      throws BackendException {
    CallResult result = CallResult.CANCELLED;
    OpenResponse answer = null;
    boolean handedOver = false;
    try {
      BackendResponse sent = client.send(permit, request, onSending);
      answer = new OpenResponse(sent, ended -> gate.release(permit, ended));
      T value = reader.read(answer);
      handedOver = true;
      return value;
    } catch (BackendException e) {
      result = e.result();
      throw e;
    } finally {
      if (!handedOver) {
        if (answer == null) {
          gate.release(permit, result);
        } else if (result == CallResult.FAILURE) {
          answer.fail();
        } else {
          answer.close();
        }
      }
    }
  }
}
