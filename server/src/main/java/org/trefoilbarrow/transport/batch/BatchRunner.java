package org.trefoilbarrow.transport.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.trefoilbarrow.coordination.batch.Checkpoint;
import org.trefoilbarrow.coordination.batch.JobChooser;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestId;
import org.trefoilbarrow.protocol.SegmentId;
import org.trefoilbarrow.protocol.SegmentState;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.JobManifestTable;
import org.trefoilbarrow.transport.platform.PeriodicTask;

/**
 * Runs batch jobs: claims segments, runs their items with the permits that online requests leave
 * free, and commits their results.
 *
 * <p>One thread claims segments, one starts items and one plans checkpoints; items and commits run
 * on thread pools. Thread-safe.
 */
public final class BatchRunner implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration START_INTERVAL = Duration.ofMillis(5);
  private static final Duration IDLE_INTERVAL = Duration.ofMillis(200);
  private static final Duration COMMIT_INTERVAL = Duration.ofMillis(50);
  private static final Duration CLAIM_INTERVAL = Duration.ofMillis(100);
  private static final int PENDING_ITEMS_PER_SLOT = 4;
  private static final Duration COMMIT_SHUTDOWN_TIMEOUT = Duration.ofSeconds(5);

  private final JobManifestTable jobs;
  private final JobStore jobStore;
  private final SegmentStore segments;
  private final JobChooser chooser;
  private final ItemRunner items;
  private final ToIntFunction<OrganisationId> weight;
  private final Predicate<SegmentState> isSuperseded;
  private final ItemListener listener;
  private final int maxSegments;
  private final int maxItems;
  private final LongSupplier nanoClock;
  private final Map<SegmentId, RunningSegment> running = new ConcurrentHashMap<>();
  private final Set<SegmentId> committing = ConcurrentHashMap.newKeySet();
  private final Semaphore itemSlots;
  private final ExecutorService itemPool;
  private final ExecutorService commitPool;
  private final PeriodicTask claims;
  private final PeriodicTask checkpoints;
  private final Semaphore startSignal = new Semaphore(0);
  private final AtomicLong attempts = new AtomicLong();
  private volatile boolean stopping;
  private volatile boolean closed;

  /** Is notified of each item that ended with a response. */
  @FunctionalInterface
  public interface ItemListener {
    /** Records an item of an organisation and how long its attempt took. */
    void onItem(OrganisationId organisation, long nanos);
  }

  /** Creates a runner; {@link #start} starts it. */
  BatchRunner(
      JobManifestTable jobs,
      JobStore jobStore,
      SegmentStore segments,
      JobChooser chooser,
      ItemRunner items,
      ToIntFunction<OrganisationId> weight,
      Predicate<SegmentState> isSuperseded,
      ItemListener listener,
      int maxSegments,
      int maxItems,
      LongSupplier nanoClock) {
    this.jobs = checkNotNull(jobs, "jobs");
    this.jobStore = checkNotNull(jobStore, "jobStore");
    this.segments = checkNotNull(segments, "segments");
    this.chooser = checkNotNull(chooser, "chooser");
    this.items = checkNotNull(items, "items");
    this.weight = checkNotNull(weight, "weight");
    this.isSuperseded = checkNotNull(isSuperseded, "isSuperseded");
    this.listener = checkNotNull(listener, "listener");
    this.maxSegments = maxSegments;
    this.maxItems = maxItems;
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.itemSlots = new Semaphore(maxItems);
    this.itemPool = newPool("batch-item-%d");
    this.commitPool = newPool("batch-commit-%d");
    this.claims = new PeriodicTask("batch-claims", CLAIM_INTERVAL, this::claim);
    this.checkpoints = new PeriodicTask("batch-checkpoints", COMMIT_INTERVAL, this::planCommits);
    jobs.addEndListener(this::onJobEnded);
  }

  /** Starts to run jobs. */
  public void start() {
    claims.start();
    daemon(this::startLoop, "batch-starts").start();
    checkpoints.start();
  }

  /** Returns the number of segments that this host runs. */
  public int runningSegments() {
    return running.size();
  }

  /** Returns the number of items in progress. */
  public int runningItems() {
    return maxItems - itemSlots.availablePermits();
  }

  /** Commits the results so far and releases all segments, so that other hosts resume at once. */
  public void releaseSegments(Duration timeout) throws InterruptedException {
    stopping = true;
    running.values().forEach(RunningSegment::stop);
    long deadlineNanos = nanoClock.getAsLong() + timeout.toNanos();
    while (!running.isEmpty() && nanoClock.getAsLong() < deadlineNanos) {
      planCommits();
      Thread.sleep(COMMIT_INTERVAL.toMillis());
    }
    if (!running.isEmpty()) {
      logger.atWarning().log(
          "batch: %s segments not released within %s ms; other hosts resume them later",
          running.size(), timeout.toMillis());
    }
  }

  @Override
  public void close() {
    closed = true;
    claims.close();
    checkpoints.close();
    itemPool.shutdownNow();
    commitPool.shutdownNow();
    try {
      boolean terminated =
          commitPool.awaitTermination(COMMIT_SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      if (!terminated) {
        logger.atWarning().log(
            "batch: a commit did not end within %s ms at shutdown",
            COMMIT_SHUTDOWN_TIMEOUT.toMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static ExecutorService newPool(String nameFormat) {
    return Executors.newCachedThreadPool(
        new ThreadFactoryBuilder().setNameFormat(nameFormat).setDaemon(true).build());
  }

  private static Thread daemon(Runnable work, String name) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    return thread;
  }

  private void claim() {
    while (!stopping && running.size() < maxSegments && pendingItems() < targetPendingItems()) {
      Optional<JobManifest> job =
          chooser.choose(jobs.inProgress(), runningByOrganisation(), weight, nanoClock.getAsLong());
      if (job.isEmpty()) {
        return;
      }
      SegmentStore.Search search = segments.claimOne(job.get(), running::containsKey, isSuperseded);
      if (search.claimed().isPresent()) {
        RunningSegment segment = search.claimed().get();
        running.put(segment.progress().segment(), segment);
        if (jobs.find(segment.job().jobId()).isEmpty()) {
          // The job ended while the segment was claimed.
          segment.stop();
        }
        startSignal.release();
        continue;
      }
      chooser.onNothingClaimable(job.get().jobId(), nanoClock.getAsLong());
      if (search.allFinished()) {
        jobStore.complete(job.get().organisation(), job.get().jobId());
      }
    }
  }

  /** Returns how many pending items to hold, so that no permit stays unused during a claim. */
  private int targetPendingItems() {
    return maxItems * PENDING_ITEMS_PER_SLOT;
  }

  private int pendingItems() {
    return running.values().stream().mapToInt(s -> s.progress().pendingItems()).sum();
  }

  private Map<OrganisationId, Integer> runningByOrganisation() {
    Map<OrganisationId, Integer> counts = new HashMap<>();
    running.values().forEach(s -> counts.merge(s.job().organisation(), 1, Integer::sum));
    return counts;
  }

  private void startLoop() {
    while (!closed) {
      try {
        Duration interval = running.isEmpty() ? IDLE_INTERVAL : START_INTERVAL;
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
    while (!stopping && itemSlots.availablePermits() > 0) {
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
    for (RunningSegment segment : running.values()) {
      inProgress.merge(
          segment.job().organisation(), segment.progress().runningItems(), Integer::sum);
    }
    return running.values().stream()
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

  private void planCommits() {
    for (RunningSegment segment : List.copyOf(running.values())) {
      SegmentId id = segment.progress().segment();
      if (committing.contains(id)) {
        continue;
      }
      boolean drained = segment.isStopping() && segment.progress().runningItems() == 0;
      Optional<Checkpoint> checkpoint =
          drained
              ? segment.progress().planRelease()
              : segment.progress().planCheckpoint(nanoClock.getAsLong());
      if (checkpoint.isPresent()) {
        committing.add(id);
        commitPool.execute(() -> commit(segment, checkpoint.get()));
      } else if (drained) {
        running.remove(id);
      }
    }
  }

  private void commit(RunningSegment segment, Checkpoint checkpoint) {
    SegmentId id = segment.progress().segment();
    try {
      if (!segments.commit(segment, checkpoint)) {
        segment.progress().onLost();
        segment.stop();
      }
      boolean finished = segment.progress().isFinished();
      if (finished || segment.progress().isLost()) {
        running.remove(id);
      }
      if (finished) {
        completeIfAllResults(segment.job());
      }
    } finally {
      committing.remove(id);
    }
  }

  private void completeIfAllResults(JobManifest job) {
    try {
      if (jobs.find(job.jobId()).isPresent() && jobStore.hasAllResults(job)) {
        jobStore.complete(job.organisation(), job.jobId());
      }
    } catch (ServiceException e) {
      // The claim loop of any host completes the job later.
      logger.atInfo().log(
          "batch: completion of job %s not recorded yet: %s", job.jobId(), e.getMessage());
    }
  }

  private void onJobEnded(JobId job) {
    chooser.remove(job);
    for (RunningSegment segment : running.values()) {
      if (segment.job().jobId().equals(job)) {
        segment.stop();
      }
    }
  }
}
