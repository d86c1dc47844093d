package org.trefoilbarrow.transport.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestId;
import org.trefoilbarrow.protocol.SegmentId;

/**
 * Runs the items of the segments that a host holds, with the permits that online requests leave
 * free.
 *
 * <p>One thread starts items, one for each organisation in turn; they run on a thread pool.
 * Thread-safe.
 */
final class ItemStarter implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration START_INTERVAL = Duration.ofMillis(5);
  private static final Duration IDLE_INTERVAL = Duration.ofMillis(200);

  private final Collection<RunningSegment> segments;
  private final ItemRunner items;
  private final ToIntFunction<OrganisationId> weight;
  private final BatchRunner.ItemListener listener;
  private final int maxItems;
  private final LongSupplier nanoClock;
  private final Semaphore itemSlots;
  private final ExecutorService itemPool = newPool("batch-item-%d");
  private final Semaphore startSignal = new Semaphore(0);
  private final AtomicLong attempts = new AtomicLong();
  private volatile boolean stopped;
  private volatile boolean closed;

  /**
   * Creates a starter; {@link #start} starts it.
   *
   * @param segments a live, thread-safe view of the segments to run
   * @param weight returns the weight of an organisation
   * @param maxItems the largest number of items in progress
   */
  ItemStarter(
      Collection<RunningSegment> segments,
      ItemRunner items,
      ToIntFunction<OrganisationId> weight,
      BatchRunner.ItemListener listener,
      int maxItems,
      LongSupplier nanoClock) {
    this.segments = checkNotNull(segments, "segments");
    this.items = checkNotNull(items, "items");
    this.weight = checkNotNull(weight, "weight");
    this.listener = checkNotNull(listener, "listener");
    this.maxItems = maxItems;
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.itemSlots = new Semaphore(maxItems);
  }

  /** Starts to run items. */
  void start() {
    Thread thread = new Thread(this::startLoop, "batch-starts");
    thread.setDaemon(true);
    thread.start();
  }

  /** Looks for items to start at once, as a segment was added. */
  void signal() {
    startSignal.release();
  }

  /** Returns the number of items in progress. */
  int runningItems() {
    return maxItems - itemSlots.availablePermits();
  }

  /** Starts no more items; those in progress continue. */
  void stop() {
    stopped = true;
  }

  @Override
  public void close() {
    closed = true;
    itemPool.shutdownNow();
  }

  /** Returns a pool of daemon threads that grows with the work. */
  static ExecutorService newPool(String nameFormat) {
    return Executors.newCachedThreadPool(
        new ThreadFactoryBuilder().setNameFormat(nameFormat).setDaemon(true).build());
  }

  private void startLoop() {
    while (!closed) {
      try {
        Duration interval = segments.isEmpty() ? IDLE_INTERVAL : START_INTERVAL;
        startSignal.tryAcquire(interval.toMillis(), TimeUnit.MILLISECONDS);
        startSignal.drainPermits();
        startItems();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("batch: starting items failed; trying again");
      }
    }
  }

  /** Starts items, one for each organisation in turn, until no more can start. */
  private void startItems() {
    Set<SegmentId> blocked = new HashSet<>();
    while (!stopped && itemSlots.availablePermits() > 0) {
      Optional<RunningSegment> next = nextSegment(blocked);
      if (next.isEmpty()) {
        return;
      }
      if (!startItem(next.get())) {
        blocked.add(next.get().progress().segment());
      }
    }
  }

  private Optional<RunningSegment> nextSegment(Set<SegmentId> blocked) {
    Map<OrganisationId, Integer> inProgress = new HashMap<>();
    for (RunningSegment segment : segments) {
      inProgress.merge(
          segment.job().organisation(), segment.progress().runningItems(), Integer::sum);
    }
    return segments.stream()
        .filter(segment -> !segment.isStopping())
        .filter(segment -> !blocked.contains(segment.progress().segment()))
        .min(
            Comparator.comparingDouble(
                    (RunningSegment segment) ->
                        (double) inProgress.get(segment.job().organisation())
                            / weight.applyAsInt(segment.job().organisation()))
                .thenComparingLong(segment -> segment.job().dueAtSeconds()));
  }

  /** Starts one item of a segment; returns false if none can start now. */
  private boolean startItem(RunningSegment segment) {
    OptionalInt index = segment.progress().startNextItem(nanoClock.getAsLong());
    if (index.isEmpty()) {
      return false;
    }
    ItemLine item = segment.item(index.getAsInt());
    OrganisationId organisation = segment.job().organisation();
    String model = item.body().path("model").asText();
    Optional<RouteSpec> route = items.route(organisation, model);
    if (route.isEmpty()) {
      String message = String.format("model \"%s\" does not exist", model);
      RequestId id = newRequestId(segment, index.getAsInt());
      segment
          .progress()
          .onFailed(
              index.getAsInt(), ResultLine.failed(id, item.customId(), "model_not_found", message));
      return true;
    }
    Optional<ItemRunner.Prepared> prepared = items.prepare(organisation, route.get());
    if (prepared.isEmpty()) {
      segment.progress().onYielded(index.getAsInt());
      return false;
    }
    itemSlots.acquireUninterruptibly();
    segment.addRequest(prepared.get().handle());
    itemPool.execute(() -> runItem(segment, index.getAsInt(), item, route.get(), prepared.get()));
    return true;
  }

  private void runItem(
      RunningSegment segment,
      int index,
      ItemLine item,
      RouteSpec route,
      ItemRunner.Prepared prepared) {
    long startNanos = nanoClock.getAsLong();
    RequestId id = newRequestId(segment, index);
    try {
      ItemRunner.AttemptResult result = items.run(item, route, prepared, id);
      record(segment, index, item, id, result);
      if (result.outcome() == ItemRunner.Outcome.ANSWERED) {
        listener.onItem(segment.job().organisation(), nanoClock.getAsLong() - startNanos);
      }
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("batch: attempt %s failed unexpectedly", id);
      ItemRunner.AttemptResult failed =
          new ItemRunner.AttemptResult(
              ItemRunner.Outcome.RETRY, "", String.valueOf(e.getMessage()));
      record(segment, index, item, id, failed);
    } finally {
      segment.removeRequest(prepared.handle());
      itemSlots.release();
      startSignal.release();
    }
  }

  private void record(
      RunningSegment segment,
      int index,
      ItemLine item,
      RequestId id,
      ItemRunner.AttemptResult result) {
    switch (result.outcome()) {
      case ANSWERED -> segment.progress().onResult(index, result.line());
      case FAILED -> segment.progress().onFailed(index, result.line());
      case YIELDED -> segment.progress().onYielded(index);
      case RETRY -> {
        boolean retry = segment.progress().onAttemptFailed(index, nanoClock.getAsLong());
        if (!retry) {
          String line =
              ResultLine.failed(id, item.customId(), "attempts_exhausted", result.cause());
          segment.progress().onFailed(index, line);
        }
      }
    }
  }

  private RequestId newRequestId(RunningSegment segment, int index) {
    return RequestId.of(
        String.format(
            "%s-%d-%d",
            segment.progress().segment().objectName().replace('/', '-'),
            index,
            attempts.incrementAndGet()));
  }
}
