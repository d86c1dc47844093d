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
 * Leads one request of a caller to its end: asks for a place, sends it, sends it again where that
 * is safe, continues a stream at another backend server, and answers.
 */
final class ForwardedCall implements PlacementListener {
  /** The part of the objective within which a request must be placed. */
  private static final double PLACE_WITHIN = 0.75;

  /** How often a request that certainly did not run is sent again. */
  private static final int MAX_UNRUN_SENDS = 4;

  /** The shortest time in which a backend server can be expected to begin its answer. */
  private static final Duration MIN_FIRST_SIGN = Duration.ofMillis(250);

  /** What is added to the longest pause of a stream before the stream is continued elsewhere. */
  private static final Duration GAP_SLACK = Duration.ofMillis(100);

  private static final Duration MIN_TIME_TO_SEND = Duration.ofMillis(5);
  private static final int RANKS = 1000;
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final ForwardServices services;
  private final FullHttpRequest request;
  private final RequestAttributes facts;
  private final Route route;
  private final Optional<Organisation> organisation;
  private final Responder responder;
  private final Runnable onDone;
  private final boolean repeatedByCaller;
  private final long startNanos;
  private final long deadlineNanos;
  private final Set<BackendServerId> excluded = new HashSet<>();
  private final ScheduledFuture<?> timeout;
  private long place = -1;
  private int runs;
  private int unrunSends;
  private Optional<Exchange> exchange = Optional.empty();
  private Optional<String> lastEvent;
  private boolean answerBegun;
  private boolean done;

  ForwardedCall(
      ForwardServices services,
      FullHttpRequest request,
      RequestAttributes facts,
      Route route,
      Optional<Organisation> organisation,
      boolean repeatedByCaller,
      Responder responder,
      Runnable onDone) {
    this.services = checkNotNull(services, "services");
    this.request = checkNotNull(request, "request");
    this.facts = checkNotNull(facts, "facts");
    this.route = checkNotNull(route, "route");
    this.organisation = checkNotNull(organisation, "organisation");
    this.repeatedByCaller = repeatedByCaller;
    this.responder = checkNotNull(responder, "responder");
    this.onDone = checkNotNull(onDone, "onDone");
    this.startNanos = now();
    this.lastEvent = facts.resumeAfter();
    long limitMillis =
        Math.min(route.timeoutMillis(), facts.deadlineMillis().orElse(Long.MAX_VALUE));
    this.deadlineNanos = startNanos + limitMillis * NANOS_IN_MILLI;
    this.timeout = services.loop().schedule(this::onTimeout, limitMillis, TimeUnit.MILLISECONDS);
  }

  /** Begins to lead the request. */
  void start() {
    askForPlace(organisation, repeatedByCaller);
  }

  /** The caller has left. */
  void cancel() {
    if (!done) {
      endPlace(PlacementResult.CANCELLED);
      end("cancelled");
    }
  }

  /** Sends the request elsewhere if the backend server is silent for too long. */
  void checkProgress(long nowNanos) {
    exchange.ifPresent(current -> current.checkProgress(nowNanos));
  }

  private long now() {
    return services.nanoClock().getAsLong();
  }

  private void askForPlace(Optional<Organisation> charged, boolean repeated) {
    int rank = organisation.map(Organisation::priority).orElse(0) * RANKS + route.priority();
    long objective =
        startNanos + (long) (route.latencyTargetMillis() * PLACE_WITHIN * NANOS_IN_MILLI);
    DemandSpec demand =
        new DemandSpec(
            route.selectService(facts.requestId().hashCode()),
            charged.map(Organisation::id),
            rank,
            false,
            objective,
            deadlineNanos,
            repeated,
            excluded,
            facts.requestId());
    place = services.placements().submit(demand, this);
  }

  @Override
  public void placed(BackendServer backend) {
    long left = deadlineNanos - now();
    if (left < MIN_TIME_TO_SEND.toNanos()) {
      endPlace(PlacementResult.CANCELLED);
      onTimeout();
      return;
    }
    HttpHeaders headers =
        services
            .dialect()
            .backendRequestHeaders(
                HopHeaders.without(request.headers()),
                backend,
                organisation.map(Organisation::id),
                left / NANOS_IN_MILLI,
                lastEvent);
    if (request.content().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    }
    Exchange next = new Exchange(backend);
    exchange = Optional.of(next);
    reached(FleetMetrics.Stage.PLACED);
    services
        .log()
        .add(
            "forward",
            "placed",
            "request",
            facts.requestId(),
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
    place = -1;
    if (done) {
      return;
    }
    if (answerBegun || runs > 0) {
      // Work that was lost at one backend server finds no place at another.
      endAfterRun();
      return;
    }
    services
        .log()
        .add(
            "forward",
            "refused",
            "request",
            facts.requestId(),
            "reason",
            reason,
            "retryAfterMillis",
            retryAfterMillis);
    responder.refuse(kindOf(reason), retryAfterMillis);
    finish("refused_" + reason);
  }

  @Override
  public void revoked() {
    // Only batch items are interrupted.
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
    // What is at a backend server may be running there.
    final boolean atBackend = exchange.isPresent();
    endPlace(PlacementResult.CANCELLED);
    if (answerBegun) {
      responder.breakOff();
    } else if (runs > 0 || atBackend) {
      responder.refuse(ErrorKind.BACKEND_TIMEOUT, 0);
    } else {
      responder.refuse(ErrorKind.QUEUE_FULL, 0);
    }
    end("timeout");
  }

  private void endPlace(PlacementResult result) {
    exchange.ifPresent(
        current -> {
          current.cancel();
          services.metrics().placeEnded(current.backend.id(), result.name());
        });
    exchange = Optional.empty();
    if (place >= 0) {
      services.placements().finish(place, result);
      place = -1;
    }
  }

  /** Ends a call that may have run, and whose answer can't be had. */
  private void endAfterRun() {
    if (answerBegun) {
      responder.breakOff();
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
    services.metrics().requestEnded(organisation.map(Organisation::id), route.name(), outcome);
    done = true;
    timeout.cancel(false);
    request.release();
    onDone.run();
  }

  private void reached(FleetMetrics.Stage stage) {
    services
        .metrics()
        .requestReached(
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
            facts.requestId(),
            "route",
            route.name(),
            "runs",
            runs,
            "begun",
            answerBegun,
            "millis",
            (now() - startNanos) / NANOS_IN_MILLI);
  }

  /** Sends the request again after a run that may have happened, or gives it up. */
  private void afterRun(BackendServer backend, PlacementResult result) {
    services
        .log()
        .add(
            "forward",
            "lost",
            "request",
            facts.requestId(),
            "backend",
            backend.id(),
            "result",
            result,
            "lastEvent",
            lastEvent.orElse(""));
    endPlace(result);
    excluded.add(backend.id());
    boolean again = route.isRetryable() && runs < Math.max(1, route.maxAttempts());
    if (again && deadlineNanos - now() > MIN_TIME_TO_SEND.toNanos()) {
      askForPlace(Optional.empty(), true);
      return;
    }
    endAfterRun();
  }

  /** Sends the request elsewhere after it certainly did not run. */
  private void afterNoRun(BackendServer backend, PlacementResult result) {
    services
        .log()
        .add(
            "forward",
            "unrun",
            "request",
            facts.requestId(),
            "backend",
            backend.id(),
            "result",
            result);
    endPlace(result);
    excluded.add(backend.id());
    unrunSends++;
    if (unrunSends < MAX_UNRUN_SENDS && deadlineNanos - now() > MIN_TIME_TO_SEND.toNanos()) {
      askForPlace(Optional.empty(), true);
      return;
    }
    if (answerBegun || runs > 0) {
      endAfterRun();
      return;
    }
    responder.refuse(ErrorKind.QUEUE_FULL, route.latencyTargetMillis());
    end("unrun everywhere");
  }

  /** One send of the request to a backend server. */
  private final class Exchange implements BackendExchange {
    private final BackendServer backend;
    private final EventStream events = new EventStream();
    private final ByteBuf body = Unpooled.buffer(0);
    private BackendConnections.Cancellation cancellation = () -> {};
    private Optional<HttpResponse> head = Optional.empty();
    private boolean notRun;
    private boolean replaced;
    private boolean streams;
    private boolean ended;
    private long progressNanos = now();

    Exchange(BackendServer backend) {
      this.backend = backend;
    }

    @Override
    public String requestId() {
      return facts.requestId();
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
      long limit =
          answerBegun && streams
              ? Duration.ofMillis(route.eventGapMillis()).plus(GAP_SLACK).toNanos()
              : Math.max(
                  MIN_FIRST_SIGN.toNanos(), 2 * route.latencyTargetMillis() * NANOS_IN_MILLI);
      if (nowNanos - progressNanos > limit) {
        runs++;
        afterRun(backend, PlacementResult.STALLED);
      }
    }

    @Override
    public void onHead(HttpResponse received, ResponseAttributes answer) {
      progressNanos = now();
      head = Optional.of(received);
      notRun = answer.notRun();
      replaced = answer.replaced();
      streams =
          route.isStreaming()
              && received.status().code() == HttpResponseStatus.OK.code()
              && !notRun;
    }

    @Override
    public void onBody(ByteBuf part) {
      progressNanos = now();
      if (!streams) {
        body.writeBytes(part);
        return;
      }
      for (EventStream.Event event : events.take(part)) {
        pass(event);
      }
    }

    private void pass(EventStream.Event event) {
      if (!event.isAfter(lastEvent)) {
        return;
      }
      if (!answerBegun) {
        answerBegun = true;
        reached(FleetMetrics.Stage.FIRST_PIECE);
        HttpHeaders headers = HopHeaders.without(head.get().headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        responder.begin(head.get().status(), headers);
      }
      if (event.id().isPresent()) {
        lastEvent = event.id();
      }
      responder.part(Unpooled.wrappedBuffer(event.bytes()));
    }

    @Override
    public void onEnd() {
      ended = true;
      if (done) {
        return;
      }
      if (replaced || notRun) {
        afterNoRun(backend, replaced ? PlacementResult.REPLACED : PlacementResult.NOT_RUN);
      } else if (streams) {
        endStream();
      } else {
        endWhole();
      }
    }

    private void endStream() {
      runs++;
      if (events.isInsideEvent()) {
        afterRun(backend, PlacementResult.FAILED);
        return;
      }
      endPlace(PlacementResult.ANSWERED);
      if (!answerBegun) {
        answerBegun = true;
        responder.begin(head.get().status(), HopHeaders.without(head.get().headers()));
      }
      responder.end();
      reached(FleetMetrics.Stage.ANSWERED);
      end("answered");
    }

    private void endWhole() {
      runs++;
      HttpResponse answer = head.get();
      boolean failed = answer.status().code() >= 500;
      if (failed && route.isRetryable() && runs < Math.max(1, route.maxAttempts())) {
        afterRun(backend, PlacementResult.FAILED);
        return;
      }
      if (answerBegun) {
        afterRun(backend, PlacementResult.FAILED);
        return;
      }
      endPlace(failed ? PlacementResult.FAILED : PlacementResult.ANSWERED);
      responder.answer(answer.status(), HopHeaders.without(answer.headers()), body);
      reached(FleetMetrics.Stage.ANSWERED);
      end(failed ? "failed by backend" : "answered");
    }

    @Override
    public void onBroken(boolean sent) {
      ended = true;
      if (done) {
        return;
      }
      if (replaced || notRun) {
        afterNoRun(backend, replaced ? PlacementResult.REPLACED : PlacementResult.NOT_RUN);
      } else if (sent) {
        runs++;
        afterRun(backend, PlacementResult.FAILED);
      } else {
        afterNoRun(backend, PlacementResult.FAILED);
      }
    }
  }
}
