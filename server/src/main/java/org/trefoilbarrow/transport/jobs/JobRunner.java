package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.jobs.ItemDurationEstimator;
import org.trefoilbarrow.coordination.jobs.JobOwner;
import org.trefoilbarrow.coordination.jobs.RequestJobProgress;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.protocol.RequestJob.ResultPart;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.WriteOutcome;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.Route;
import org.trefoilbarrow.transport.forward.ForwardServices;
import org.trefoilbarrow.transport.link.PeerAddress;

/**
 * Runs the items of the jobs that this host owns and makes their results visible. Used by the
 * thread of the event loop alone; writes run on the executor.
 */
public final class JobRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration SWEEP_EVERY = Duration.ofMillis(200);

  /** How long outcomes are gathered into one write: short against a job's due time. */
  private static final Duration GATHER = Duration.ofMillis(150);

  /** How long a host that has just started hears who else runs before it runs jobs. */
  private static final Duration WAIT_FOR_PEERS = Duration.ofMillis(1200);

  /** Assumed until items were measured; short, so that none is put behind others without reason. */
  private static final Duration FIRST_ITEM_TIME = Duration.ofSeconds(2);

  private static final Duration RETRY_WRITE = Duration.ofMillis(300);
  private static final int WRITE_ATTEMPTS = 3;

  /** The most items of one host that wait or run at the same time. */
  private static final int MAX_ACTIVE_ITEMS = 512;

  /** Added to an item's retention, since the clocks of hosts differ. */
  private static final Duration RETENTION_SLACK = Duration.ofSeconds(10);

  private final ForwardServices services;
  private final RequestJobTable table;
  private final RequestJobStore objects;
  private final Executor executor;
  private final PeerAddress self;
  private final BooleanSupplier followsJobs;
  private final LongSupplier milliClock;
  private final Map<JobId, Map<String, ItemRun>> runs = new HashMap<>();
  private final Set<JobId> writing = new HashSet<>();
  private final ItemDurationEstimator itemTimes = new ItemDurationEstimator(FIRST_ITEM_TIME);
  private final String author;
  private final long startNanos;
  private int activeItems;
  private boolean draining;

  /**
   * Creates a runner.
   *
   * @param followsJobs whether all jobs and results of the platform are known
   */
  public JobRunner(
      ForwardServices services,
      RequestJobTable table,
      RequestJobStore objects,
      Executor executor,
      PeerAddress self,
      BooleanSupplier followsJobs,
      LongSupplier milliClock) {
    this.services = checkNotNull(services, "services");
    this.table = checkNotNull(table, "table");
    this.objects = checkNotNull(objects, "objects");
    this.executor = checkNotNull(executor, "executor");
    this.self = checkNotNull(self, "self");
    this.followsJobs = checkNotNull(followsJobs, "followsJobs");
    this.milliClock = checkNotNull(milliClock, "milliClock");
    this.startNanos = services.nanoClock().getAsLong();
    this.author = self.host() + "/" + self.startedMillis();
  }

  /** Begins to run jobs. */
  public void start() {
    table.onChange(this::look);
    services.placements().onPeersChanged(this::sweep);
    loop()
        .scheduleAtFixedRate(
            this::sweep, SWEEP_EVERY.toMillis(), SWEEP_EVERY.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Begins no further items and interrupts those that run. */
  public void stop() {
    draining = true;
    for (Map<String, ItemRun> items : ImmutableList.copyOf(runs.values())) {
      ImmutableList.copyOf(items.values()).forEach(ItemRun::cancel);
    }
    runs.clear();
  }

  private EventLoop loop() {
    return services.loop();
  }

  private void sweep() {
    long now = services.nanoClock().getAsLong();
    for (Map<String, ItemRun> items : ImmutableList.copyOf(runs.values())) {
      ImmutableList.copyOf(items.values()).forEach(run -> run.checkProgress(now));
    }
    for (RequestJobProgress ledger : ImmutableList.copyOf(table.ledgers())) {
      look(ledger);
    }
  }

  private void look(RequestJobProgress ledger) {
    JobId id = ledger.job().id();
    Map<String, ItemRun> running = runs.get(id);
    if (running != null) {
      for (String item : ImmutableList.copyOf(running.keySet())) {
        if (ledger.isCancelled() || ledger.hasOutcome(item)) {
          ended(ledger, item);
        }
      }
    }
    writeLater(ledger);
    if (draining || ledger.isComplete() || !followsJobs.getAsBoolean() || isBeginning()) {
      return;
    }
    if (!isOwner(ledger.job()) || !services.placements().usesSharedDispatcher()) {
      dropWaiting(ledger);
      return;
    }
    Optional<Catalog> catalog = services.fleet().catalog();
    if (catalog.isEmpty()) {
      return;
    }
    Optional<Route> route =
        catalog
            .get()
            .route(ledger.job().hostName(), ledger.job().path())
            .filter(found -> found.requestKind() == Route.RequestKind.BATCH);
    for (JobItem item : ledger.unfinishedItems()) {
      if (activeItems >= MAX_ACTIVE_ITEMS) {
        return;
      }
      if (!runs.getOrDefault(id, Map.of()).containsKey(item.id())) {
        begin(ledger, item, route);
      }
    }
  }

  /** Returns whether the other hosts may not have been heard yet. */
  private boolean isBeginning() {
    return services.nanoClock().getAsLong() - startNanos < WAIT_FOR_PEERS.toNanos();
  }

  /** Leaves items that do not run yet to the host that owns the job now. */
  private void dropWaiting(RequestJobProgress ledger) {
    Map<String, ItemRun> running = runs.get(ledger.job().id());
    if (running == null) {
      return;
    }
    for (Map.Entry<String, ItemRun> entry : ImmutableMap.copyOf(running).entrySet()) {
      if (!entry.getValue().isRunning()) {
        ended(ledger, entry.getKey());
      }
    }
  }

  private void begin(RequestJobProgress ledger, JobItem item, Optional<Route> route) {
    if (route.isEmpty() || isPastRetention(ledger.job(), route.get())) {
      services
          .log()
          .add(
              "jobs",
              "given up",
              "job",
              ledger.job().id(),
              "item",
              item.id(),
              "reason",
              route.isEmpty() ? "no route" : "retention");
      ledger.recordPermanentFailure(item.id());
      writeLater(ledger);
      return;
    }
    ItemRun run =
        new ItemRun(services, ledger, item, route.get(), milliClock.getAsLong(), this, itemTimes);
    runs.computeIfAbsent(ledger.job().id(), key -> new HashMap<>()).put(item.id(), run);
    activeItems++;
    run.start();
  }

  private boolean isPastRetention(RequestJob job, Route route) {
    return milliClock.getAsLong() - job.submittedMillis()
        > route.retentionMillis() + RETENTION_SLACK.toMillis();
  }

  /** Ends the run of an item that has an outcome or needs none. */
  void ended(RequestJobProgress ledger, String item) {
    Map<String, ItemRun> running = runs.get(ledger.job().id());
    ItemRun run = running == null ? null : running.remove(item);
    if (run != null) {
      activeItems--;
      run.cancel();
      if (running.isEmpty()) {
        runs.remove(ledger.job().id());
      }
    }
    writeLater(ledger);
  }

  private boolean isOwner(RequestJob job) {
    ImmutableList<PeerAddress> fit = services.placements().livePeers(true);
    ImmutableList.Builder<JobOwner.Candidate> candidates = ImmutableList.builder();
    candidates.add(new JobOwner.Candidate(self.host(), self.startedMillis()));
    fit.forEach(peer -> candidates.add(new JobOwner.Candidate(peer.host(), peer.startedMillis())));
    Optional<HostId> owner = JobOwner.of(job, candidates.build());
    return owner.filter(self.host()::equals).isPresent();
  }

  private void writeLater(RequestJobProgress ledger) {
    JobId id = ledger.job().id();
    if (ledger.nextResultPart(author, RequestJobStore.MAX_OBJECT_CHARACTERS).isEmpty()
        || !writing.add(id)) {
      return;
    }
    long wait = ledger.unfinishedItems().isEmpty() ? 0 : GATHER.toMillis();
    loop().schedule(() -> write(ledger), wait, TimeUnit.MILLISECONDS);
  }

  private void write(RequestJobProgress ledger) {
    JobId id = ledger.job().id();
    Optional<ResultPart> part =
        ledger.nextResultPart(author, RequestJobStore.MAX_OBJECT_CHARACTERS);
    if (part.isEmpty()) {
      writing.remove(id);
      return;
    }
    int number = ledger.nextPartNumber();
    executor.execute(
        () -> {
          Optional<ResultPart> kept = Optional.empty();
          try {
            WriteOutcome outcome = objects.createPart(id, number, part.get(), WRITE_ATTEMPTS);
            kept = outcome.isApplied() ? part : objects.readPart(id, number);
          } catch (PlatformException e) {
            logger.atFine().log("jobs: results of %s are not kept yet: %s", id, e.getMessage());
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("jobs: results of %s are not kept", id);
          }
          Optional<ResultPart> found = kept;
          loop().execute(() -> written(ledger, number, found));
        });
  }

  private void written(RequestJobProgress ledger, int number, Optional<ResultPart> kept) {
    JobId id = ledger.job().id();
    if (kept.isEmpty()) {
      loop().schedule(() -> write(ledger), RETRY_WRITE.toMillis(), TimeUnit.MILLISECONDS);
      return;
    }
    services
        .log()
        .add(
            "jobs",
            "results",
            "job",
            id,
            "part",
            number,
            "count",
            kept.get().results().size(),
            "own",
            kept.get().author().equals(author));
    writing.remove(id);
    table.applyPart(ledger, number, kept.get());
    writeLater(ledger);
  }
}
