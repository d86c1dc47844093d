package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Base64;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.coordination.jobs.ItemDurationEstimator;
import org.trefoilbarrow.coordination.jobs.RequestJobProgress;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Route;
import org.trefoilbarrow.transport.forward.BackendConnections;
import org.trefoilbarrow.transport.forward.BackendExchange;
import org.trefoilbarrow.transport.forward.EventStream;
import org.trefoilbarrow.transport.forward.ForwardServices;
import org.trefoilbarrow.transport.forward.HopHeaders;
import org.trefoilbarrow.transport.forward.ResponseAttributes;
import org.trefoilbarrow.transport.link.DemandSpec;
import org.trefoilbarrow.transport.link.PlacementListener;

/**
 * Runs one item of a job to its outcome. A run that is interrupted or lost goes on after its last
 * whole event, at any backend server.
 */
final class ItemRun implements PlacementListener {
  /** How long a backend server may stay silent before the item goes on elsewhere. */
  private static final Duration SILENCE = Duration.ofMillis(1500);

  /** The time that a run is given; the item's own time is bounded by its retention. */
  private static final Duration RUN_TIME = Duration.ofSeconds(60);

  /** From an item's end to a reader: the write is gathered, made and read by polling. */
  private static final Duration RESULT_TIME = Duration.ofMillis(800);

  private static final Duration RETRY_AFTER_FAILURE = Duration.ofMillis(200);
  private static final int UNPROCESSABLE = 422;
  private static final int OK = 200;
  private static final int RANKS = 1000;
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final ForwardServices services;
  private final RequestJobProgress ledger;
  private final JobItem item;
  private final Route route;
  private final JobRunner runner;
  private final ItemDurationEstimator times;
  private final long dueNanos;
  private final long startNanos;
  private final StringBuilder output = new StringBuilder();
  private final Set<BackendServerId> excluded = new HashSet<>();
  private Optional<String> lastEvent = Optional.empty();
  private Optional<Exchange> exchange = Optional.empty();
  private long place = -1;
  private long ranNanos;
  private boolean hasData;
  private boolean done;

  ItemRun(
      ForwardServices services,
      RequestJobProgress ledger,
      JobItem item,
      Route route,
      long nowMillis,
      JobRunner runner,
      ItemDurationEstimator times) {
    this.services = checkNotNull(services, "services");
    this.ledger = checkNotNull(ledger, "ledger");
    this.item = checkNotNull(item, "item");
    this.route = checkNotNull(route, "route");
    this.runner = checkNotNull(runner, "runner");
    this.times = checkNotNull(times, "times");
    long dueInMillis = ledger.job().submittedMillis() + route.runTargetMillis() - nowMillis;
    this.startNanos = now();
    this.dueNanos = startNanos + dueInMillis * NANOS_IN_MILLI;
  }

  void start() {
    ask();
  }

  /** Ends the run without an outcome. */
  void cancel() {
    done = true;
    endPlace(PlacementResult.CANCELLED);
  }

  /** Returns whether the item is at a backend server. */
  boolean isRunning() {
    return exchange.isPresent();
  }

  void checkProgress(long nowNanos) {
    Optional<Exchange> current = exchange;
    if (current.isPresent() && nowNanos - current.get().progressNanos > SILENCE.toNanos()) {
      log("stalled");
      lost(current.get().backend, PlacementResult.STALLED);
    }
  }

  private long now() {
    return services.nanoClock().getAsLong();
  }

  private void ask() {
    place =
        services
            .placements()
            .submit(
                new DemandSpec(
                    route.selectService(item.id().hashCode()),
                    Optional.empty(),
                    RANKS * route.priority(),
                    true,
                    dueNanos - RESULT_TIME.toNanos() - times.expectedRemainingNanos(ranNanos),
                    now() + RUN_TIME.toNanos(),
                    true,
                    excluded,
                    item.id()),
                this);
  }

  private void askLater() {
    services
        .loop()
        .schedule(
            () -> {
              if (!done && place < 0) {
                ask();
              }
            },
            RETRY_AFTER_FAILURE.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void placed(BackendServer backend) {
    if (done) {
      endPlace(PlacementResult.CANCELLED);
      return;
    }
    HttpHeaders headers =
        HopHeaders.without(
            services
                .dialect()
                .backendRequestHeaders(
                    item,
                    ledger.job().hostName(),
                    backend,
                    ledger.job().organisation(),
                    RUN_TIME.toMillis(),
                    lastEvent));
    ByteBuf body = Unpooled.wrappedBuffer(Base64.getDecoder().decode(item.body()));
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            item.path(),
            body,
            headers,
            EmptyHttpHeaders.INSTANCE);
    Exchange next = new Exchange(backend);
    exchange = Optional.of(next);
    next.cancellation = services.connections().send(backend, request, next);
  }

  @Override
  public void refused(RefusalReason reason, long retryAfterMillis) {
    place = -1;
    if (!done) {
      excluded.clear();
      askLater();
    }
  }

  @Override
  public void revoked() {
    if (!done) {
      log("interrupted");
      endPlace(PlacementResult.CANCELLED);
      ask();
    }
  }

  private void lost(BackendServer backend, PlacementResult result) {
    endPlace(result);
    excluded.clear();
    excluded.add(backend.id());
    askLater();
  }

  private void endPlace(PlacementResult result) {
    exchange.ifPresent(
        current -> {
          current.cancel();
          ranNanos += now() - current.sentNanos;
          services.metrics().placeEnded(current.backend.id(), result.name());
        });
    exchange = Optional.empty();
    if (place >= 0) {
      services.placements().finish(place, result);
      place = -1;
    }
  }

  private void log(String event) {
    services.metrics().item(ledger.job().organisation(), event);
    services
        .log()
        .add(
            "jobs",
            event,
            "job",
            ledger.job().id(),
            "item",
            item.id(),
            "lastEvent",
            lastEvent.orElse(""));
  }

  /** One send of the item to a backend server. */
  private final class Exchange implements BackendExchange {
    private final BackendServer backend;
    private final EventStream events = new EventStream();
    private BackendConnections.Cancellation cancellation = () -> {};
    private int status;
    private boolean notRun;
    private boolean replaced;
    private boolean ended;
    private final long sentNanos = now();
    private long progressNanos = sentNanos;

    Exchange(BackendServer backend) {
      this.backend = backend;
    }

    @Override
    public String requestId() {
      return item.id();
    }

    void cancel() {
      if (!ended) {
        ended = true;
        cancellation.cancel();
      }
    }

    @Override
    public void onHead(HttpResponse head, ResponseAttributes facts) {
      progressNanos = now();
      status = head.status().code();
      notRun = facts.notRun();
      replaced = facts.replaced();
    }

    @Override
    public void onBody(ByteBuf part) {
      progressNanos = now();
      if (status != OK) {
        return;
      }
      for (EventStream.Event event : events.take(part)) {
        take(event);
      }
    }

    private void take(EventStream.Event event) {
      if (event.id().isEmpty() || !event.isAfter(lastEvent)) {
        return;
      }
      lastEvent = event.id();
      event
          .data()
          .ifPresent(
              data -> {
                if (hasData) {
                  output.append('\n');
                }
                hasData = true;
                output.append(data);
              });
    }

    @Override
    public void onEnd() {
      ended = true;
      if (done) {
        return;
      }
      if (notRun || replaced) {
        lost(backend, replaced ? PlacementResult.REPLACED : PlacementResult.NOT_RUN);
      } else if (status == OK && !events.isInsideEvent()) {
        log("done");
        endPlace(PlacementResult.ANSWERED);
        done = true;
        times.record(ranNanos);
        services.metrics().itemEnded(ledger.job().organisation(), now() - startNanos);
        ledger.recordResult(item.id(), output.toString());
        runner.ended(ledger, item.id());
      } else if (status == UNPROCESSABLE) {
        log("cannot be done");
        endPlace(PlacementResult.ANSWERED);
        done = true;
        ledger.recordPermanentFailure(item.id());
        runner.ended(ledger, item.id());
      } else if (status >= 500) {
        failed();
      } else {
        lost(backend, PlacementResult.FAILED);
      }
    }

    private void failed() {
      log("failed");
      if (ledger.recordFailedAttempt(item.id(), Math.max(1, route.maxAttempts()))) {
        endPlace(PlacementResult.ANSWERED);
        done = true;
        runner.ended(ledger, item.id());
      } else {
        lost(backend, PlacementResult.CANCELLED);
      }
    }

    @Override
    public void onBroken(boolean sent) {
      ended = true;
      if (!done) {
        log("lost");
        lost(backend, replaced ? PlacementResult.REPLACED : PlacementResult.FAILED);
      }
    }
  }
}
