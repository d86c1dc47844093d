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

/** Runs one attempt of one item. Thread-safe. */
final class ItemRunner {
  private static final int CLIENT_ERRORS = 400;
  private static final int SERVER_ERRORS = 500;
  private static final int TOO_MANY = 429;
  private static final int REQUEST_TIMEOUT = 408;

  private final ConfigurationTable configuration;
  private final TokenSource tokens;
  private final PermitQueue gate;
  private final BatchCalls calls;
  private final Duration timeout;

  /** What came of an attempt. */
  enum End {
    /** The item has an answer. */
    ANSWERED,
    /** The item can never be done. */
    FAILED,
    /** The attempt failed; another may not. */
    TRY_AGAIN,
    /** The item gave its permit back to online work. */
    YIELDED
  }

  /**
   * The result of an attempt.
   *
   * @param end what came of it
   * @param line the result line; empty unless the item is answered or failed
   * @param cause why the attempt failed
   */
  record Attempt(End end, String line, String cause) {}

  /** What an item needs to run: its permit, and the request. */
  record Prepared(Permit permit, BatchCalls.Handle handle) {}

  ItemRunner(
      ConfigurationTable configuration,
      TokenSource tokens,
      PermitQueue gate,
      BatchCalls calls,
      Duration timeout) {
    this.configuration = checkNotNull(configuration, "configuration");
    this.tokens = checkNotNull(tokens, "tokens");
    this.gate = checkNotNull(gate, "gate");
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

  /** Takes a permit and then a token for an item; returns empty if either is missing now. */
  Optional<Prepared> prepare(OrganisationId organisation, RouteSpec route) {
    BatchCalls.Handle handle = new BatchCalls.Handle();
    PermitRequest demand =
        new PermitRequest(
            gate.newRequestId(),
            RouteTarget.of(route.target()),
            organisation,
            1,
            1,
            ImmutableSet.of(),
            "");
    Optional<Permit> permit = gate.tryAcquireForBatch(demand, handle::cancel);
    if (permit.isEmpty()) {
      return Optional.empty();
    }
    if (!tokens.tryAcquireForBatch(organisation)) {
      gate.release(permit.get(), CallResult.CANCELLED);
      return Optional.empty();
    }
    return Optional.of(new Prepared(permit.get(), handle));
  }

  /** Runs an attempt with what {@link #prepare} took, and gives the permit back. */
  Attempt run(ItemLine item, RouteSpec route, Prepared prepared, RequestId id) {
    byte[] body =
        item.body()
            .deepCopy()
            .put("model", route.target())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    BatchCalls.Result result = calls.send(prepared.permit(), prepared.handle(), id, body, timeout);
    if (result.answer().isEmpty()) {
      End end = prepared.handle().isCancelled() ? End.YIELDED : End.TRY_AGAIN;
      return new Attempt(end, "", result.cause());
    }
    return judge(item, id, result.answer().get());
  }

  private static Attempt judge(ItemLine item, RequestId id, FullResponse answer) {
    int status = answer.status();
    if (status < CLIENT_ERRORS) {
      return new Attempt(End.ANSWERED, ResultLine.answered(id, item.customId(), answer), "");
    }
    boolean mayPass = status >= SERVER_ERRORS || status == TOO_MANY || status == REQUEST_TIMEOUT;
    if (mayPass) {
      return new Attempt(End.TRY_AGAIN, "", "status " + status);
    }
    return new Attempt(End.FAILED, ResultLine.refused(id, item.customId(), answer), "");
  }
}
