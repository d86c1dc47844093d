package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ObjectArrays;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.coordination.failover.Failover;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.Organisation;
import org.trefoilbarrow.state.fleet.Route;
import org.trefoilbarrow.transport.link.DemandSpec;
import org.trefoilbarrow.transport.link.PlacementListener;
import org.trefoilbarrow.transport.metrics.FleetMetrics;

/**
 * One request of a caller, from its arrival to the end of its response: requests slots, sends the
 * request to backend servers as {@link Failover} decides, and responds to the caller.
 */
final class ForwardedCall implements BackendAttempt.Listener {
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final ForwardServices services;
  private final CallerRequest request;
  private final RequestAttributes attributes;
  private final Route route;
  private final Responder responder;
  private final Runnable onDone;
  private final CallLog log;
  private final boolean retriedByCaller;
  private final long startNanos;
  private long deadlineNanos;
  private final Failover failover;
  private final Set<BackendServerId> excluded = new HashSet<>();
  private Optional<BackendServerId> silentBackend = Optional.empty();
  private ScheduledFuture<?> timeout;
  private Optional<Slot> requestedSlot = Optional.empty();
  private Optional<Slot> usedSlot = Optional.empty();
  private Optional<BackendAttempt> attempt = Optional.empty();
  private Optional<String> lastEventId;
  private Optional<String> streamType = Optional.empty();
  private boolean done;

  ForwardedCall(
      ForwardServices services,
      CallerRequest request,
      boolean retriedByCaller,
      Responder responder,
      Runnable onDone) {
    this.services = checkNotNull(services, "services");
    this.request = checkNotNull(request, "request");
    this.attributes = request.attributes();
    this.route = request.route();
    this.retriedByCaller = retriedByCaller;
    this.responder = checkNotNull(responder, "responder");
    this.onDone = checkNotNull(onDone, "onDone");
    this.log = new CallLog(services.log(), attributes.requestId());
    this.startNanos = now();
    this.lastEventId = attributes.resumeAfter();
    this.deadlineNanos = startNanos + maxNanos(route, attributes);
    this.failover = new Failover(route, startNanos, deadlineNanos);
    this.timeout = scheduleTimeout();
  }

  /** Returns the longest time that a request may take, in nanoseconds. */
  static long maxNanos(Route route, RequestAttributes attributes) {
    return NANOS_IN_MILLI
        * Math.min(route.timeoutMillis(), attributes.deadlineMillis().orElse(Long.MAX_VALUE));
  }

  private ScheduledFuture<?> scheduleTimeout() {
    return services.loop().schedule(this::onTimeout, deadlineNanos - now(), TimeUnit.NANOSECONDS);
  }

  /** Gives the request more time if a new configuration does; never takes any away. */
  void onCatalogChanged(Catalog catalog) {
    long limitNanos =
        catalog.routes().stream()
            .filter(found -> found.name().equals(route.name()))
            .mapToLong(found -> startNanos + maxNanos(found, attributes))
            .findFirst()
            .orElse(deadlineNanos);
    if (!done && limitNanos - deadlineNanos > 0) {
      deadlineNanos = limitNanos;
      failover.extendDeadline(limitNanos);
      timeout.cancel(false);
      timeout = scheduleTimeout();
      logState("more time");
    }
  }

  /** Requests the first slot. */
  void start() {
    failover.start();
    requestSlot(request.organisation(), retriedByCaller);
  }

  /** Cancels the request because the caller has closed its connection. */
  void cancel() {
    if (!done) {
      releaseSlots(PlacementResult.CANCELLED);
      end("cancelled");
    }
  }

  /** Requests a slot at another backend server if the current one is silent. */
  void checkProgress(long nowNanos) {
    if (failover.check(nowNanos) != Failover.Step.REQUEST_SLOT) {
      return;
    }
    attempt.ifPresent(
        current -> {
          log.addAttempt("silent", current.backend().id(), "silentMillis", silentMillis());
          excluded.add(current.backend().id());
          silentBackend = Optional.of(current.backend().id());
        });
    requestSlot(Optional.empty(), true);
  }

  private long now() {
    return services.nanoClock().getAsLong();
  }

  private long silentMillis() {
    return failover.silenceNanos(now()) / NANOS_IN_MILLI;
  }

  private void requestSlot(Optional<Organisation> chargedOrganisation, boolean repeated) {
    DemandSpec demand =
        request.demand(
            services.domain(), chargedOrganisation, startNanos, deadlineNanos, repeated, excluded);
    Slot slot = new Slot();
    requestedSlot = Optional.of(slot);
    slot.number = services.placements().submit(demand, slot);
  }

  /** Admits the server again that was only silent, which is no failure. */
  private void readmitSilentBackend() {
    silentBackend.ifPresent(excluded::remove);
    silentBackend = Optional.empty();
  }

  private void withdrawRequest() {
    requestedSlot.ifPresent(slot -> slot.release(PlacementResult.CANCELLED, RunReport.NONE));
    requestedSlot = Optional.empty();
  }

  /** One slot at a backend server, requested or in use. */
  private final class Slot implements PlacementListener {
    private long number;

    void release(PlacementResult result, RunReport report) {
      services.placements().finish(number, result, report);
    }

    @Override
    public void placed(BackendServer backend) {
      switch (failover.slotAssigned(now())) {
        case WITHDRAW_REQUEST -> withdrawRequest();
        case EXPIRE -> onTimeout();
        case MOVE -> {
          attempt.ifPresent(
              silent ->
                  log.addAttempt(
                      "moved", silent.backend().id(), "lastEvent", lastEventId.orElse("")));
          releaseUsedSlot(PlacementResult.STALLED);
          useSlot(this, backend);
        }
        default -> useSlot(this, backend);
      }
    }

    @Override
    public void refused(RefusalReason reason, long retryAfterMillis) {
      requestedSlot = Optional.empty();
      onRefused(reason, retryAfterMillis);
    }

    @Override
    public void revoked() {
      // Only slots of batch items are revoked.
    }
  }

  private void useSlot(Slot slot, BackendServer backend) {
    requestedSlot = Optional.empty();
    usedSlot = Optional.of(slot);
    recordStage(FleetMetrics.Stage.PLACED);
    long waitedMillis = (now() - startNanos) / NANOS_IN_MILLI;
    log.addAttempt("placed", backend.id(), "waitedMillis", waitedMillis);
    FullHttpRequest sent =
        request.toBackend(services.dialect(), backend, remainingMillis(), lastEventId);
    BackendAttempt next =
        new BackendAttempt(
            services,
            backend,
            attributes.requestId(),
            attributes.conditional(),
            this::isStream,
            this);
    attempt = Optional.of(next);
    next.send(sent);
  }

  /** Returns whether a response is the caller's stream, or may go on with what has begun of it. */
  private boolean isStream(HttpResponse response) {
    return route.isStreaming()
        && response.status().code() == HttpResponseStatus.OK.code()
        && (!failover.isResponseStarted() || streamType.equals(EventStream.typeOf(response)));
  }

  /**
   * Returns for how long the caller waits, in milliseconds. The route's timeout may be raised
   * later, so that a backend server that knew it would end too early.
   */
  private long remainingMillis() {
    OptionalLong deadlineMillis = attributes.deadlineMillis();
    return deadlineMillis.isPresent()
        ? deadlineMillis.getAsLong() - (now() - startNanos) / NANOS_IN_MILLI
        : (deadlineNanos - now()) / NANOS_IN_MILLI;
  }

  private void onRefused(RefusalReason reason, long retryAfterMillis) {
    switch (failover.slotRefused(retryAfterMillis * NANOS_IN_MILLI, now())) {
      case FAIL -> endWithoutResult("no slot: " + reason);
      case REFUSE -> {
        log.add("refused", "reason", reason, "retryAfterMillis", retryAfterMillis);
        responder.refuse(kindOf(reason), retryAfterMillis);
        finish("refused_" + reason);
      }
      default ->
          log.add(
              attempt.isPresent() ? "kept" : "waits again",
              "backend",
              attempt.map(current -> current.backend().id().value()).orElse(""),
              "reason",
              reason);
    }
  }

  private static ErrorKind kindOf(RefusalReason reason) {
    return switch (reason) {
      case TOO_LONG_A_WAIT, WAITED_TOO_LONG -> ErrorKind.QUEUE_FULL;
      case OVER_RATE -> ErrorKind.OVER_RATE;
      case NO_BACKEND -> ErrorKind.NO_BACKEND_SERVER;
      case QUARANTINED -> ErrorKind.PROMPT_QUARANTINED;
    };
  }

  private void onTimeout() {
    endUnanswered(ErrorKind.QUEUE_FULL, 0, "timeout");
  }

  /** Ends the request because the process must exit. */
  void stop(long retryAfterMillis) {
    endUnanswered(ErrorKind.SHUTTING_DOWN, retryAfterMillis, "ended by shutdown");
  }

  private void endUnanswered(ErrorKind unprocessedKind, long retryAfterMillis, String outcome) {
    if (done) {
      return;
    }
    releaseSlots(PlacementResult.CANCELLED);
    if (failover.isResponseStarted()) {
      responder.abort();
    } else if (failover.mayHaveRun()) {
      // A request that is at a backend server may run there, so it is not refused as unprocessed.
      responder.refuse(ErrorKind.BACKEND_TIMEOUT, 0);
    } else {
      responder.refuse(unprocessedKind, retryAfterMillis);
    }
    end(outcome);
  }

  /** Cancels the attempt, if one runs, and gives back its slot. */
  private void releaseUsedSlot(PlacementResult result) {
    RunReport report = attempt.map(BackendAttempt::report).orElse(RunReport.NONE);
    attempt.ifPresent(
        current -> {
          current.cancel();
          services.metrics().countPlacement(current.backend().id(), result.name());
        });
    attempt = Optional.empty();
    usedSlot.ifPresent(slot -> slot.release(result, report));
    usedSlot = Optional.empty();
  }

  private void releaseSlots(PlacementResult result) {
    releaseUsedSlot(result);
    withdrawRequest();
  }

  /** Ends a request that may have run and whose response is lost. */
  private void endWithoutResult(String cause) {
    releaseSlots(PlacementResult.CANCELLED);
    boolean begun = failover.isResponseStarted();
    if (begun) {
      responder.abort();
    } else {
      responder.refuse(ErrorKind.BACKEND_FAILED, 0);
    }
    logState(begun ? "cut" : "failed", "cause", cause);
    finish(begun ? "cut" : "failed");
  }

  private void end(String outcome) {
    logState(outcome);
    finish(outcome);
  }

  private void finish(String outcome) {
    services.metrics().countRequest(organisationId(), route.name(), outcome);
    done = true;
    timeout.cancel(false);
    request.request().release();
    onDone.run();
  }

  private Optional<OrganisationId> organisationId() {
    return request.organisation().map(Organisation::id);
  }

  private void recordStage(FleetMetrics.Stage stage) {
    services
        .metrics()
        .recordStageTime(stage, organisationId(), route.requestKind().name(), now() - startNanos);
  }

  /** Logs an event together with how far the request has come. */
  private void logState(String event, Object... fields) {
    Object[] state = {
      "route",
      route.name(),
      "runs",
      failover.runs(),
      "begun",
      failover.isResponseStarted(),
      "millis",
      (now() - startNanos) / NANOS_IN_MILLI
    };
    log.add(event, ObjectArrays.concat(state, fields, Object.class));
  }

  @Override
  public void onProgress(BackendAttempt current, boolean streaming) {
    long silentMillis = silentMillis();
    if (failover.progressed(streaming, now()) == Failover.Step.WITHDRAW_REQUEST) {
      log.addAttempt("went on", current.backend().id(), "silentMillis", silentMillis);
      withdrawRequest();
      readmitSilentBackend();
    }
  }

  @Override
  public void onEvent(HttpResponse response, EventStream.Event event) {
    if (!event.isAfter(lastEventId)) {
      return;
    }
    if (!failover.isResponseStarted()) {
      failover.responseStarted();
      streamType = EventStream.typeOf(response);
      recordStage(FleetMetrics.Stage.FIRST_PIECE);
      HttpHeaders headers = HopByHopHeaders.removeFrom(response.headers());
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      responder.startResponse(response.status(), headers);
    }
    if (event.id().isPresent()) {
      lastEventId = event.id();
    }
    responder.writePart(Unpooled.wrappedBuffer(event.bytes()));
  }

  @Override
  public void onEndedBeforeResponse(BackendAttempt broken) {
    services.serverEnds().broken(broken.backend(), attributes.promptParts());
  }

  @Override
  public void onStreamComplete(BackendAttempt current, HttpResponse response) {
    if (lastEventId.isEmpty() && !failover.isResponseStarted()) {
      // A stream has events; only one that is resumed after its last event is empty.
      onLost(current, LossCause.INCOMPLETE_STREAM);
      return;
    }
    failover.attemptCompleted();
    releaseSlots(PlacementResult.ANSWERED);
    if (!failover.isResponseStarted()) {
      failover.responseStarted();
      responder.startResponse(response.status(), HopByHopHeaders.removeFrom(response.headers()));
    }
    responder.endResponse();
    recordStage(FleetMetrics.Stage.ANSWERED);
    end("answered");
  }

  @Override
  public void onResponseComplete(BackendAttempt current, HttpResponse response, ByteBuf body) {
    boolean failed = response.status().code() >= 500;
    if (failover.isResponseStarted()) {
      onLost(current, LossCause.OTHER_RESPONSE);
      return;
    }
    if (failed && failover.mayRunAgain()) {
      onLost(current, LossCause.SERVER_ERROR);
      return;
    }
    failover.attemptCompleted();
    releaseSlots(failed ? PlacementResult.FAILED : PlacementResult.ANSWERED);
    responder.respond(response.status(), HopByHopHeaders.removeFrom(response.headers()), body);
    recordStage(FleetMetrics.Stage.ANSWERED);
    end(failed ? "failed by backend" : "answered");
  }

  /** Requests a slot for a request that may have run, if its route allows that; ends it if not. */
  @Override
  public void onLost(BackendAttempt lost, LossCause cause) {
    log.addAttempt(
        "lost",
        lost.backend().id(),
        "result",
        PlacementResult.FAILED,
        "cause",
        cause,
        "lastEvent",
        lastEventId.orElse(""),
        "bufferedBytes",
        lost.bufferedBytes());
    excluded.add(lost.backend().id());
    releaseUsedSlot(PlacementResult.FAILED);
    switch (failover.attemptLost(now())) {
      case REQUEST_SLOT -> requestSlot(Optional.empty(), true);
      case FAIL -> endWithoutResult("no further run");
      default -> {}
    }
  }

  /** Requests a slot for a request that certainly did not run. */
  @Override
  public void onNotRun(BackendAttempt rejected, PlacementResult result) {
    log.addAttempt("unrun", rejected.backend().id(), "result", result);
    readmitSilentBackend();
    excluded.add(rejected.backend().id());
    releaseUsedSlot(result);
    switch (failover.attemptNotRun(now())) {
      case REQUEST_SLOT -> requestSlot(Optional.empty(), true);
      case FAIL -> endWithoutResult("not run anywhere else");
      case REFUSE -> {
        withdrawRequest();
        responder.refuse(ErrorKind.QUEUE_FULL, route.latencyTargetMillis());
        end("unrun everywhere");
      }
      default -> {}
    }
  }
}
