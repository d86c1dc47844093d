package org.trefoilbarrow.transport.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.trefoilbarrow.coordination.backend.CallResult;
import org.trefoilbarrow.coordination.backend.Permit;
import org.trefoilbarrow.coordination.backend.PermitRequest;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.operators.RouteType;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestId;
import org.trefoilbarrow.protocol.RouteTarget;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.transport.backend.BatchCalls;
import org.trefoilbarrow.transport.backend.FullResponse;
import org.trefoilbarrow.transport.backend.PermitQueue;
import org.trefoilbarrow.transport.peer.TokenSource;

/** Runs attempts of batch items. Thread-safe. */
final class ItemRunner {
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int REQUEST_TIMEOUT = 408;

  private final ConfigurationTable configuration;
  private final TokenSource tokens;
  private final PermitQueue permits;
  private final BatchCalls calls;
  private final Duration timeout;

  /** The outcome of an attempt. */
  enum Outcome {
    /** The item has a response. */
    ANSWERED,
    /** The item failed permanently. */
    FAILED,
    /** The attempt failed; another may succeed. */
    RETRY,
    /** The item did not run, or was cancelled to release its permit to an online request. */
    YIELDED
  }

  /**
   * The result of an attempt.
   *
   * @param outcome its outcome
   * @param line the result line; empty unless the item was answered or failed
   * @param cause why the attempt failed
   */
  record AttemptResult(Outcome outcome, String line, String cause) {}

  /** The permit of an item, and the handle that cancels its request. */
  record Prepared(Permit permit, BatchCalls.Handle handle) {}

  ItemRunner(
      ConfigurationTable configuration,
      TokenSource tokens,
      PermitQueue permits,
      BatchCalls calls,
      Duration timeout) {
    this.configuration = checkNotNull(configuration, "configuration");
    this.tokens = checkNotNull(tokens, "tokens");
    this.permits = checkNotNull(permits, "permits");
    this.calls = checkNotNull(calls, "calls");
    this.timeout = checkNotNull(timeout, "timeout");
  }

  /** Returns the route of an item, if the organisation may use it. */
  Optional<RouteSpec> route(OrganisationId organisation, String model) {
    return configuration
        .spec(EntityKind.ROUTE, model, RouteSpec.class)
        .filter(route -> route.type() == RouteType.MODEL)
        .filter(
            route ->
                route.organisations().isEmpty()
                    || route.organisations().contains(organisation.value()));
  }

  /** Acquires a permit and then a token for an item; returns empty if either is unavailable. */
  Optional<Prepared> prepare(OrganisationId organisation, RouteSpec route) {
    BatchCalls.Handle handle = new BatchCalls.Handle();
    PermitRequest request =
        new PermitRequest(
            permits.newRequestId(),
            RouteTarget.of(route.target()),
            organisation,
            1,
            1,
            ImmutableSet.of(),
            "");
    Optional<Permit> permit = permits.tryAcquireForBatch(request, handle::cancel);
    if (permit.isEmpty()) {
      return Optional.empty();
    }
    if (!tokens.tryAcquireForBatch(organisation)) {
      permits.release(permit.get(), CallResult.CANCELLED);
      return Optional.empty();
    }
    return Optional.of(new Prepared(permit.get(), handle));
  }

  /** Runs an attempt with the permit that {@link #prepare} acquired, and releases the permit. */
  AttemptResult run(ItemLine item, RouteSpec route, Prepared prepared, RequestId id) {
    byte[] body =
        item.body()
            .deepCopy()
            .put("model", route.target())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    BatchCalls.Result result = calls.send(prepared.permit(), prepared.handle(), id, body, timeout);
    if (result.response().isEmpty()) {
      boolean yielded = prepared.handle().isCancelled() || result.notRun();
      Outcome outcome = yielded ? Outcome.YIELDED : Outcome.RETRY;
      return new AttemptResult(outcome, "", result.cause());
    }
    return toResult(item, id, result.response().get());
  }

  private static AttemptResult toResult(ItemLine item, RequestId id, FullResponse response) {
    int status = response.status();
    if (status < FIRST_CLIENT_ERROR) {
      return new AttemptResult(
          Outcome.ANSWERED, ResultLine.answered(id, item.customId(), response), "");
    }
    boolean retryable =
        status >= FIRST_SERVER_ERROR || status == TOO_MANY_REQUESTS || status == REQUEST_TIMEOUT;
    if (retryable) {
      return new AttemptResult(Outcome.RETRY, "", "status " + status);
    }
    return new AttemptResult(Outcome.FAILED, ResultLine.refused(id, item.customId(), response), "");
  }
}
