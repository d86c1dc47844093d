package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Organisation;
import org.trefoilbarrow.state.fleet.Route;
import org.trefoilbarrow.transport.link.DemandSpec;
import org.trefoilbarrow.transport.link.PlacementListener;
import org.trefoilbarrow.transport.metrics.FleetMetrics;

/**
 * One request of a caller, from its arrival to the end of its response: requests a slot, sends the
 * request to a backend server, retries it where that is safe, resumes a stream at another backend
 * server, and responds to the caller.
 */
final class ForwardedCall implements PlacementListener {
  /** The fraction of the route's target time within which a request must be placed. */
  private static final double PLACEMENT_FRACTION = 0.75;

  /** The most sends of a request that certainly did not run. */
  private static final int MAX_UNPROCESSED_SENDS = 4;

  /** The shortest time in which a backend server can be expected to start its response. */
  private static final Duration MIN_FIRST_RESPONSE_TIMEOUT = Duration.ofMillis(250);

  /** Added to a route's longest event gap before a stream is resumed at another backend server. */
  private static final Duration EVENT_GAP_MARGIN = Duration.ofMillis(100);

  /** A request with less time before its deadline is not sent. */
  private static final Duration MIN_REMAINING_TIME = Duration.ofMillis(5);

  private static final int RANKS_PER_PRIORITY = 1000;
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final ForwardServices services;
  private final FullHttpRequest request;
  private final RequestAttributes attributes;
  private final Route route;
  private final Optional<Organisation> organisation;
  private final Responder responder;
  private final Runnable onDone;
  private final boolean retriedByCaller;
  private final long startNanos;
  private final long deadlineNanos;
  private final Set<BackendServerId> excluded = new HashSet<>();
  private final ScheduledFuture<?> timeout;
  private long demandNumber = -1;
  private int runs;
  private int unprocessedSends;
  private Optional<Attempt> attempt = Optional.empty();
  private Optional<String> lastEventId;
  private boolean responseStarted;
  private boolean done;

  ForwardedCall(
      ForwardServices services,
      FullHttpRequest request,
      RequestAttributes attributes,
      Route route,
      Optional<Organisation> organisation,
      boolean retriedByCaller,
      Responder responder,
      Runnable onDone) {
    this.services = checkNotNull(services, "services");
    this.request = checkNotNull(request, "request");
    this.attributes = checkNotNull(attributes, "attributes");
    this.route = checkNotNull(route, "route");
    this.organisation = checkNotNull(organisation, "organisation");
    this.retriedByCaller = retriedByCaller;
    this.responder = checkNotNull(responder, "responder");
    this.onDone = checkNotNull(onDone, "onDone");
    this.startNanos = now();
    this.lastEventId = attributes.resumeAfter();
    long timeoutMillis =
        Math.min(route.timeoutMillis(), attributes.deadlineMillis().orElse(Long.MAX_VALUE));
    this.deadlineNanos = startNanos + timeoutMillis * NANOS_IN_MILLI;
    this.timeout = services.loop().schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Requests the first slot. */
  void start() {
    requestSlot(organisation, retriedByCaller);
  }

  /** Cancels the request because the caller has closed its connection. */
  void cancel() {
    if (!done) {
      releaseSlot(PlacementResult.CANCELLED);
      end("cancelled");
    }
  }

  /** Retries the request at another backend server if the current one has stalled. */
  void checkProgress(long nowNanos) {
    attempt.ifPresent(current -> current.checkProgress(nowNanos));
  }

  private long now() {
    return services.nanoClock().getAsLong();
  }

  private void requestSlot(Optional<Organisation> chargedOrganisation, boolean repeated) {
    int rank =
        organisation.map(Organisation::priority).orElse(0) * RANKS_PER_PRIORITY + route.priority();
    long objective =
        startNanos + (long) (route.latencyTargetMillis() * PLACEMENT_FRACTION * NANOS_IN_MILLI);
    DemandSpec demand =
        new DemandSpec(
            route.selectService(attributes.requestId().hashCode()),
            chargedOrganisation.map(Organisation::id),
            rank,
            false,
            objective,
            deadlineNanos,
            repeated,
            excluded,
            attributes.requestId());
    demandNumber = services.placements().submit(demand, this);
  }

  @Override
  public void placed(BackendServer backend) {
    long remainingNanos = deadlineNanos - now();
    if (remainingNanos < MIN_REMAINING_TIME.toNanos()) {
      releaseSlot(PlacementResult.CANCELLED);
      onTimeout();
      return;
    }
    HttpHeaders headers =
        services
            .dialect()
            .backendRequestHeaders(
                HopByHopHeaders.removeFrom(request.headers()),
                backend,
                organisation.map(Organisation::id),
                remainingNanos / NANOS_IN_MILLI,
                lastEventId);
    if (request.content().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    }
    Attempt next = new Attempt(backend);
    attempt = Optional.of(next);
    recordStage(FleetMetrics.Stage.PLACED);
    services
        .log()
        .add(
            "forward",
            "placed",
            "request",
            attributes.requestId(),
            "backend",
            backend.id(),
            "waitedMillis",
            (now() - startNanos) / NANOS_IN_MILLI);
    FullHttpRequest sent =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.content().retainedDuplicate(),
            headers,
            EmptyHttpHeaders.INSTANCE);
    next.cancellation = services.connections().send(backend, sent, next);
  }

  @Override
  public void refused(RefusalReason reason, long retryAfterMillis) {
    demandNumber = -1;
    if (done) {
      return;
    }
    if (responseStarted || runs > 0) {
      // A run was lost at one backend server, and the retry gets no slot at another.
      endWithoutResult();
      return;
    }
    services
        .log()
        .add(
            "forward",
            "refused",
            "request",
            attributes.requestId(),
            "reason",
            reason,
            "retryAfterMillis",
            retryAfterMillis);
    responder.refuse(kindOf(reason), retryAfterMillis);
    finish("refused_" + reason);
  }

  @Override
  public void revoked() {
    // Only slots of batch items are revoked.
  }

  private static ErrorKind kindOf(RefusalReason reason) {
    return switch (reason) {
      case TOO_LONG_A_WAIT, WAITED_TOO_LONG -> ErrorKind.QUEUE_FULL;
      case OVER_RATE -> ErrorKind.OVER_RATE;
      case NO_BACKEND -> ErrorKind.NO_BACKEND_SERVER;
    };
  }

  private void onTimeout() {
    if (done) {
      return;
    }
    // A request that is at a backend server may run there, so it is not refused as unprocessed.
    final boolean atBackend = attempt.isPresent();
    releaseSlot(PlacementResult.CANCELLED);
    if (responseStarted) {
      responder.abort();
    } else if (runs > 0 || atBackend) {
      responder.refuse(ErrorKind.BACKEND_TIMEOUT, 0);
    } else {
      responder.refuse(ErrorKind.QUEUE_FULL, 0);
    }
    end("timeout");
  }

  private void releaseSlot(PlacementResult result) {
    attempt.ifPresent(
        current -> {
          current.cancel();
          services.metrics().countPlacement(current.backend.id(), result.name());
        });
    attempt = Optional.empty();
    if (demandNumber >= 0) {
      services.placements().finish(demandNumber, result);
      demandNumber = -1;
    }
  }

  /** Ends a request that may have run and whose response is lost. */
  private void endWithoutResult() {
    if (responseStarted) {
      responder.abort();
      end("cut");
    } else {
      responder.refuse(ErrorKind.BACKEND_FAILED, 0);
      end("failed");
    }
  }

  private void end(String outcome) {
    log(outcome);
    finish(outcome);
  }

  private void finish(String outcome) {
    services.metrics().countRequest(organisation.map(Organisation::id), route.name(), outcome);
    done = true;
    timeout.cancel(false);
    request.release();
    onDone.run();
  }

  private void recordStage(FleetMetrics.Stage stage) {
    services
        .metrics()
        .recordStageTime(
            stage,
            organisation.map(Organisation::id),
            route.requestKind().name(),
            now() - startNanos);
  }

  private void log(String event) {
    services
        .log()
        .add(
            "forward",
            event,
            "request",
            attributes.requestId(),
            "route",
            route.name(),
            "runs",
            runs,
            "begun",
            responseStarted,
            "millis",
            (now() - startNanos) / NANOS_IN_MILLI);
  }

  /** Retries a request that may have run, if its route allows that; ends it otherwise. */
  private void retryAfterRun(BackendServer backend, PlacementResult result) {
    services
        .log()
        .add(
            "forward",
            "lost",
            "request",
            attributes.requestId(),
            "backend",
            backend.id(),
            "result",
            result,
            "lastEvent",
            lastEventId.orElse(""));
    releaseSlot(result);
    excluded.add(backend.id());
    boolean mayRetry = route.isRetryable() && runs < Math.max(1, route.maxAttempts());
    if (mayRetry && deadlineNanos - now() > MIN_REMAINING_TIME.toNanos()) {
      requestSlot(Optional.empty(), true);
      return;
    }
    endWithoutResult();
  }

  /** Retries, at another backend server, a request that certainly did not run. */
  private void retryUnprocessed(BackendServer backend, PlacementResult result) {
    services
        .log()
        .add(
            "forward",
            "unrun",
            "request",
            attributes.requestId(),
            "backend",
            backend.id(),
            "result",
            result);
    releaseSlot(result);
    excluded.add(backend.id());
    unprocessedSends++;
    if (unprocessedSends < MAX_UNPROCESSED_SENDS
        && deadlineNanos - now() > MIN_REMAINING_TIME.toNanos()) {
      requestSlot(Optional.empty(), true);
      return;
    }
    if (responseStarted || runs > 0) {
      endWithoutResult();
      return;
    }
    responder.refuse(ErrorKind.QUEUE_FULL, route.latencyTargetMillis());
    end("unrun everywhere");
  }

  /** One attempt of the request at one backend server. */
  private final class Attempt implements BackendResponseHandler {
    private final BackendServer backend;
    private final EventStream events = new EventStream();
    private final ByteBuf body = Unpooled.buffer(0);
    private BackendConnections.Cancellation cancellation = () -> {};
    private Optional<HttpResponse> response = Optional.empty();
    private boolean notRun;
    private boolean replaced;
    private boolean streaming;
    private boolean ended;
    private long lastProgressNanos = now();

    Attempt(BackendServer backend) {
      this.backend = backend;
    }

    @Override
    public String requestId() {
      return attributes.requestId();
    }

    void cancel() {
      if (!ended) {
        ended = true;
        cancellation.cancel();
      }
    }

    void checkProgress(long nowNanos) {
      if (!route.isRetryable() || runs + 1 >= Math.max(1, route.maxAttempts())) {
        return;
      }
      long timeoutNanos =
          responseStarted && streaming
              ? Duration.ofMillis(route.eventGapMillis()).plus(EVENT_GAP_MARGIN).toNanos()
              : Math.max(
                  MIN_FIRST_RESPONSE_TIMEOUT.toNanos(),
                  2 * route.latencyTargetMillis() * NANOS_IN_MILLI);
      if (nowNanos - lastProgressNanos > timeoutNanos) {
        runs++;
        retryAfterRun(backend, PlacementResult.STALLED);
      }
    }

    @Override
    public void onHeaders(HttpResponse received, ResponseAttributes responseAttributes) {
      lastProgressNanos = now();
      response = Optional.of(received);
      notRun = responseAttributes.notRun();
      replaced = responseAttributes.replaced();
      streaming =
          route.isStreaming()
              && received.status().code() == HttpResponseStatus.OK.code()
              && !notRun;
    }

    @Override
    public void onBody(ByteBuf part) {
      lastProgressNanos = now();
      if (!streaming) {
        body.writeBytes(part);
        return;
      }
      for (EventStream.Event event : events.append(part)) {
        forwardEvent(event);
      }
    }

    private void forwardEvent(EventStream.Event event) {
      if (!event.isAfter(lastEventId)) {
        return;
      }
      if (!responseStarted) {
        responseStarted = true;
        recordStage(FleetMetrics.Stage.FIRST_PIECE);
        HttpHeaders headers = HopByHopHeaders.removeFrom(response.get().headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        responder.startResponse(response.get().status(), headers);
      }
      if (event.id().isPresent()) {
        lastEventId = event.id();
      }
      responder.writePart(Unpooled.wrappedBuffer(event.bytes()));
    }

    @Override
    public void onEnd() {
      ended = true;
      if (done) {
        return;
      }
      if (replaced || notRun) {
        retryUnprocessed(backend, replaced ? PlacementResult.REPLACED : PlacementResult.NOT_RUN);
      } else if (streaming) {
        completeStream();
      } else {
        completeResponse();
      }
    }

    private void completeStream() {
      runs++;
      if (events.isInsideEvent()) {
        retryAfterRun(backend, PlacementResult.FAILED);
        return;
      }
      releaseSlot(PlacementResult.ANSWERED);
      if (!responseStarted) {
        responseStarted = true;
        responder.startResponse(
            response.get().status(), HopByHopHeaders.removeFrom(response.get().headers()));
      }
      responder.endResponse();
      recordStage(FleetMetrics.Stage.ANSWERED);
      end("answered");
    }

    private void completeResponse() {
      runs++;
      HttpResponse received = response.get();
      boolean failed = received.status().code() >= 500;
      if (failed && route.isRetryable() && runs < Math.max(1, route.maxAttempts())) {
        retryAfterRun(backend, PlacementResult.FAILED);
        return;
      }
      if (responseStarted) {
        retryAfterRun(backend, PlacementResult.FAILED);
        return;
      }
      releaseSlot(failed ? PlacementResult.FAILED : PlacementResult.ANSWERED);
      responder.respond(received.status(), HopByHopHeaders.removeFrom(received.headers()), body);
      recordStage(FleetMetrics.Stage.ANSWERED);
      end(failed ? "failed by backend" : "answered");
    }

    @Override
    public void onBroken(boolean sent) {
      ended = true;
      if (done) {
        return;
      }
      if (replaced || notRun) {
        retryUnprocessed(backend, replaced ? PlacementResult.REPLACED : PlacementResult.NOT_RUN);
      } else if (sent) {
        runs++;
        retryAfterRun(backend, PlacementResult.FAILED);
      } else {
        retryUnprocessed(backend, PlacementResult.FAILED);
      }
    }
  }
}
