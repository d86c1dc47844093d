package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ObjectArrays;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Base64;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.coordination.dispatch.WorkProfile;
import org.trefoilbarrow.coordination.jobs.ItemDurationEstimator;
import org.trefoilbarrow.coordination.jobs.RequestJobProgress;
import org.trefoilbarrow.coordination.jobs.RetryPause;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Route;
import org.trefoilbarrow.transport.forward.ForwardServices;
import org.trefoilbarrow.transport.forward.HopByHopHeaders;
import org.trefoilbarrow.transport.forward.LossCause;
import org.trefoilbarrow.transport.link.DemandSpec;
import org.trefoilbarrow.transport.link.PlacementListener;

/**
 * Runs one item of a request job until it has an outcome. A run that is interrupted or lost is
 * resumed after its last complete event, at any backend server.
 */
final class ItemRun implements PlacementListener, ItemAttempt.Listener {
  /** The longest time without data before the item is resumed at another backend server. */
  private static final Duration STALL_TIMEOUT = Duration.ofMillis(1500);

  /** The deadline of one run; the time of the whole item is bounded by its retention. */
  private static final Duration RUN_TIMEOUT = Duration.ofSeconds(60);

  /**
   * The time from the end of an item until a reader has its result: results are collected, written
   * and read by polling.
   */
  private static final Duration RESULT_DELAY = Duration.ofMillis(800);

  private static final int UNPROCESSABLE_STATUS = 422;

  /** The only status that counts as a failed attempt; others say nothing about the item. */
  private static final int FAILED_STATUS = 500;

  private static final int RANKS_PER_PRIORITY = 1000;
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final ForwardServices services;
  private final RequestJobProgress progress;
  private final JobItem item;
  private final ImmutableList<PromptPartId> promptParts;
  private final JobRunner runner;
  private final ItemDurationEstimator durations;
  private final long dueNanos;
  private final long startNanos;
  private final ItemOutput output = new ItemOutput();
  private final Set<BackendServerId> excluded = new HashSet<>();
  private Optional<ItemAttempt> attempt = Optional.empty();
  private Route route;
  private boolean suspended;
  private String demandedService = "";
  private long demandNumber = -1;
  private long totalRunNanos;
  private int rejections;
  private boolean done;

  ItemRun(
      ForwardServices services,
      RequestJobProgress progress,
      JobItem item,
      Route route,
      long nowMillis,
      JobRunner runner,
      ItemDurationEstimator durations) {
    this.services = checkNotNull(services, "services");
    this.progress = checkNotNull(progress, "progress");
    this.item = checkNotNull(item, "item");
    this.promptParts = services.dialect().promptParts(item);
    this.route = checkNotNull(route, "route");
    this.runner = checkNotNull(runner, "runner");
    this.durations = checkNotNull(durations, "durations");
    long dueInMillis = progress.job().submittedMillis() + route.runTargetMillis() - nowMillis;
    this.startNanos = now();
    this.dueNanos = startNanos + dueInMillis * NANOS_IN_MILLI;
  }

  void start() {
    requestSlot();
  }

  /** Cancels the run without an outcome for the item. */
  void cancel() {
    done = true;
    releaseSlot(PlacementResult.CANCELLED);
  }

  /** Returns whether the item is running at a backend server. */
  boolean isRunning() {
    return attempt.isPresent();
  }

  /**
   * Applies the configuration in force. A run at a backend server goes on. An item that waits for a
   * slot asks for one of its route's present service; without a route, it asks for none.
   *
   * @param current the route; empty if the configuration has none
   */
  void follow(Optional<Route> current) {
    if (done) {
      return;
    }
    current.ifPresent(found -> route = found);
    if (isRunning()) {
      suspended = current.isEmpty();
      return;
    }
    if (current.isEmpty()) {
      suspended = true;
      releaseSlot(PlacementResult.CANCELLED);
      return;
    }
    boolean moves = demandNumber >= 0 && !selectService().equals(demandedService);
    if (moves) {
      log("moved");
      releaseSlot(PlacementResult.CANCELLED);
      excluded.clear();
    }
    if (moves || suspended) {
      suspended = false;
      requestSlot();
    }
  }

  /** Resumes the item at another backend server if its current run has stalled. */
  void checkProgress(long nowNanos) {
    Optional<ItemAttempt> current = attempt;
    if (current.isPresent() && isStalled(current.get(), nowNanos)) {
      log("stalled");
      retryElsewhere(current.get().backend(), PlacementResult.STALLED);
    }
  }

  /** Returns whether nothing comes any more, or more than any run may take. */
  private static boolean isStalled(ItemAttempt current, long nowNanos) {
    return nowNanos - current.lastProgressNanos() > STALL_TIMEOUT.toNanos()
        || nowNanos - current.sentNanos() > RUN_TIMEOUT.plus(STALL_TIMEOUT).toNanos();
  }

  private long now() {
    return services.nanoClock().getAsLong();
  }

  private String selectService() {
    return route.selectService(item.id().hashCode());
  }

  private void requestSlot() {
    if (suspended) {
      return;
    }
    demandedService = selectService();
    demandNumber =
        services
            .placements()
            .submit(
                new DemandSpec(
                    demandedService,
                    Optional.empty(),
                    RANKS_PER_PRIORITY * route.priority(),
                    true,
                    dueNanos
                        - RESULT_DELAY.toNanos()
                        - durations.expectedRemainingNanos(totalRunNanos),
                    now() + RUN_TIMEOUT.toNanos(),
                    true,
                    excluded,
                    item.id(),
                    promptParts,
                    profile()),
                this);
  }

  private WorkProfile profile() {
    return new WorkProfile(
            route.name(),
            Optional.of(services.domain()),
            services.dialect().size(item),
            durations.expectedRemainingNanos(totalRunNanos),
            services.dialect().promptPartTokens(item))
        .withCaller(Optional.of(progress.job().organisation()));
  }

  private void scheduleRetry() {
    services
        .loop()
        .schedule(
            () -> {
              if (!done && demandNumber < 0) {
                requestSlot();
              }
            },
            RetryPause.after(rejections).toMillis(),
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void placed(BackendServer backend) {
    if (done) {
      releaseSlot(PlacementResult.CANCELLED);
      return;
    }
    if (!backend.service().equals(selectService())) {
      // The route has moved to another service since the demand was submitted.
      releaseSlot(PlacementResult.CANCELLED);
      requestSlot();
      return;
    }
    HttpHeaders headers =
        HopByHopHeaders.removeFrom(
            services
                .dialect()
                .backendRequestHeaders(
                    item,
                    progress.job().hostName(),
                    backend,
                    progress.job().organisation(),
                    RUN_TIMEOUT.toMillis(),
                    output.lastEventId()));
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
    ItemAttempt next =
        new ItemAttempt(
            services, item, promptParts, backend, output, runner::maxOutputCharacters, this);
    attempt = Optional.of(next);
    next.send(request);
  }

  @Override
  public void refused(RefusalReason reason, long retryAfterMillis) {
    demandNumber = -1;
    if (!done && reason == RefusalReason.QUARANTINED) {
      log("quarantined");
      runner.endRun(progress, item.id());
    } else if (!done) {
      excluded.clear();
      scheduleRetry();
    }
  }

  @Override
  public void revoked() {
    if (!done) {
      log("interrupted");
      releaseSlot(PlacementResult.CANCELLED);
      requestSlot();
    }
  }

  private void retryElsewhere(BackendServer backend, PlacementResult result) {
    releaseSlot(result);
    excluded.clear();
    excluded.add(backend.id());
    scheduleRetry();
  }

  private void releaseSlot(PlacementResult result) {
    RunReport report = attempt.map(ItemAttempt::report).orElse(RunReport.NONE);
    attempt.ifPresent(
        current -> {
          current.cancel();
          totalRunNanos += now() - current.sentNanos();
          services.metrics().countPlacement(current.backend().id(), result.name());
        });
    attempt = Optional.empty();
    if (demandNumber >= 0) {
      services.placements().finish(demandNumber, result, report);
      demandNumber = -1;
    }
  }

  private void log(String event, Object... fields) {
    services.metrics().countItemEvent(progress.job().organisation(), event);
    services
        .log()
        .add(
            "jobs",
            event,
            ObjectArrays.concat(
                new Object[] {
                  "job",
                  progress.job().id(),
                  "item",
                  item.id(),
                  "lastEvent",
                  output.lastEventId().orElse("")
                },
                fields,
                Object.class));
  }

  @Override
  public void onEvent() {
    rejections = 0;
  }

  @Override
  public void onTooLong(ItemAttempt current) {
    rejections++;
    log("too long");
    if (current.continuesOutput()) {
      output.discard();
    }
    retryElsewhere(current.backend(), PlacementResult.FAILED);
  }

  @Override
  public void onOutputComplete(ItemAttempt current) {
    String wholeOutput = output.text();
    boolean canBeWritten = runner.canBeWritten(item.id(), wholeOutput);
    log(canBeWritten ? "done" : "too long");
    releaseSlot(PlacementResult.ANSWERED);
    done = true;
    if (!canBeWritten) {
      // Another run would be as long; the item waits for its retention.
      return;
    }
    durations.record(totalRunNanos);
    services.metrics().recordItemTime(progress.job().organisation(), now() - startNanos);
    progress.recordResult(item.id(), wholeOutput);
    runner.endRun(progress, item.id());
  }

  @Override
  public void onOtherResponse(ItemAttempt current, int status) {
    switch (status) {
      case UNPROCESSABLE_STATUS -> {
        log("cannot be done");
        releaseSlot(PlacementResult.ANSWERED);
        done = true;
        progress.recordPermanentFailure(item.id());
        runner.endRun(progress, item.id());
      }
      case FAILED_STATUS -> handleServerError(current);
      default -> retryElsewhere(current.backend(), PlacementResult.FAILED);
    }
  }

  private void handleServerError(ItemAttempt current) {
    log("failed");
    if (progress.recordFailedAttempt(item.id(), Math.max(1, route.maxAttempts()))) {
      releaseSlot(PlacementResult.ANSWERED);
      done = true;
      runner.endRun(progress, item.id());
    } else {
      retryElsewhere(current.backend(), PlacementResult.CANCELLED);
    }
  }

  @Override
  public void onLost(ItemAttempt current, PlacementResult result, LossCause cause) {
    log("lost", "cause", cause);
    retryElsewhere(current.backend(), result);
  }

  @Override
  public void onNotRun(ItemAttempt current, PlacementResult result) {
    log("unrun");
    if (result != PlacementResult.LEAVING) {
      // A request that was not sent was not rejected either.
      rejections++;
    }
    retryElsewhere(current.backend(), result);
  }
}
