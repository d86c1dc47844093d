package org.trefoilbarrow.transport.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.trefoilbarrow.coordination.batch.Checkpoint;
import org.trefoilbarrow.coordination.batch.JobChooser;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.SegmentId;
import org.trefoilbarrow.protocol.SegmentState;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.JobManifestTable;
import org.trefoilbarrow.transport.platform.PeriodicTask;

/**
 * Runs batch jobs: claims segments, runs their items with the permits that online requests leave
 * free, and commits their results.
 *
 * <p>One thread claims segments and one plans checkpoints; commits run on a thread pool. {@link
 * ItemStarter} runs the items. Thread-safe.
 */
public final class BatchRunner implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration COMMIT_INTERVAL = Duration.ofMillis(50);
  private static final Duration CLAIM_INTERVAL = Duration.ofMillis(100);
  private static final int PENDING_ITEMS_PER_SLOT = 4;
  private static final Duration COMMIT_SHUTDOWN_TIMEOUT = Duration.ofSeconds(5);

  private final JobManifestTable jobs;
  private final JobStore jobStore;
  private final SegmentStore segments;
  private final JobChooser chooser;
  private final ToIntFunction<OrganisationId> weight;
  private final Predicate<SegmentState> isSuperseded;
  private final int maxSegments;
  private final int maxItems;
  private final LongSupplier nanoClock;
  private final Map<SegmentId, RunningSegment> running = new ConcurrentHashMap<>();
  private final Set<SegmentId> committing = ConcurrentHashMap.newKeySet();
  private final ItemStarter starter;
  private final ExecutorService commitPool;
  private final PeriodicTask claims;
  private final PeriodicTask checkpoints;
  private volatile boolean stopping;

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
    this.weight = checkNotNull(weight, "weight");
    this.isSuperseded = checkNotNull(isSuperseded, "isSuperseded");
    this.maxSegments = maxSegments;
    this.maxItems = maxItems;
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.starter = new ItemStarter(running.values(), items, weight, listener, maxItems, nanoClock);
    this.commitPool = ItemStarter.newPool("batch-commit-%d");
    this.claims = new PeriodicTask("batch-claims", CLAIM_INTERVAL, this::claim);
    this.checkpoints = new PeriodicTask("batch-checkpoints", COMMIT_INTERVAL, this::planCommits);
    jobs.addEndListener(this::onJobEnded);
  }

  /** Starts to run jobs. */
  public void start() {
    claims.start();
    starter.start();
    checkpoints.start();
  }

  /** Returns the number of segments that this host runs. */
  public int runningSegments() {
    return running.size();
  }

  /** Returns the number of items in progress. */
  public int runningItems() {
    return starter.runningItems();
  }

  /** Commits the results so far and releases all segments, so that other hosts resume at once. */
  public void releaseSegments(Duration timeout) throws InterruptedException {
    stopping = true;
    starter.stop();
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
    claims.close();
    checkpoints.close();
    starter.close();
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
        starter.signal();
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
