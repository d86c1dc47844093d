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
import org.trefoilbarrow.protocol.RequestJob.Result;
import org.trefoilbarrow.protocol.RequestJob.ResultPart;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.WriteOutcome;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.Route;
import org.trefoilbarrow.transport.forward.ForwardServices;
import org.trefoilbarrow.transport.link.PeerAddress;

/**
 * Runs the items of the request jobs that this host owns and writes their results to the platform.
 * Used only on the event loop's thread; writes run on the executor.
 */
public final class JobRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(200);

  /** How long outcomes are collected into one write; short compared with a job's due time. */
  private static final Duration WRITE_DELAY = Duration.ofMillis(150);

  /** How long a newly started host waits for the heartbeats of its peers before it runs jobs. */
  private static final Duration PEER_DISCOVERY_TIME = Duration.ofMillis(1200);

  /**
   * The duration of items that is assumed until some were measured; short, so that no item is put
   * behind others without reason.
   */
  private static final Duration INITIAL_ITEM_DURATION = Duration.ofSeconds(2);

  private static final Duration WRITE_RETRY_DELAY = Duration.ofMillis(300);
  private static final int WRITE_ATTEMPTS = 3;

  /** The most items of one host that wait or run at the same time. */
  private static final int MAX_ACTIVE_ITEMS = 512;

  /** Added to an item's retention because the clocks of hosts differ. */
  private static final Duration RETENTION_MARGIN = Duration.ofSeconds(10);

  private final ForwardServices services;
  private final RequestJobTable table;
  private final RequestJobStore store;
  private final Executor executor;
  private final PeerAddress self;
  private final BooleanSupplier jobsSynchronized;
  private final Runnable refreshConfiguration;
  private final LongSupplier milliClock;
  private final Map<JobId, Map<String, ItemRun>> runs = new HashMap<>();
  private final Set<JobId> writing = new HashSet<>();
  private final ItemDurationEstimator itemDurations =
      new ItemDurationEstimator(INITIAL_ITEM_DURATION);
  private final String author;
  private final long startNanos;
  private int activeItems;
  private boolean draining;

  /**
   * Creates a runner.
   *
   * @param jobsSynchronized whether all jobs and results of the platform have been read
   * @param refreshConfiguration reads the configuration from the platform again
   */
  public JobRunner(
      ForwardServices services,
      RequestJobTable table,
      RequestJobStore store,
      Executor executor,
      PeerAddress self,
      BooleanSupplier jobsSynchronized,
      Runnable refreshConfiguration,
      LongSupplier milliClock) {
    this.services = checkNotNull(services, "services");
    this.table = checkNotNull(table, "table");
    this.store = checkNotNull(store, "store");
    this.executor = checkNotNull(executor, "executor");
    this.self = checkNotNull(self, "self");
    this.jobsSynchronized = checkNotNull(jobsSynchronized, "jobsSynchronized");
    this.refreshConfiguration = checkNotNull(refreshConfiguration, "refreshConfiguration");
    this.milliClock = checkNotNull(milliClock, "milliClock");
    this.startNanos = services.nanoClock().getAsLong();
    this.author = self.host() + "/" + self.startedMillis();
  }

  /** Starts to run jobs. */
  public void start() {
    table.onChange(this::update);
    services.placements().onPeersChanged(this::sweep);
    loop()
        .scheduleAtFixedRate(
            this::sweep,
            SWEEP_INTERVAL.toMillis(),
            SWEEP_INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  /** Starts no further items and cancels those that run. */
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
    for (RequestJobProgress progress : ImmutableList.copyOf(table.jobs())) {
      update(progress);
    }
  }

  private void update(RequestJobProgress progress) {
    JobId id = progress.job().id();
    Map<String, ItemRun> running = runs.get(id);
    if (running != null) {
      for (String item : ImmutableList.copyOf(running.keySet())) {
        if (progress.isCancelled() || progress.hasOutcome(item)) {
          endRun(progress, item);
        }
      }
    }
    scheduleWrite(progress);
    if (draining
        || progress.isComplete()
        || !jobsSynchronized.getAsBoolean()
        || isDiscoveringPeers()) {
      return;
    }
    if (!isOwner(progress.job()) || !services.placements().usesSharedDispatcher()) {
      cancelWaitingItems(progress);
      return;
    }
    Optional<Catalog> catalog = services.fleet().catalog();
    if (catalog.isEmpty()) {
      return;
    }
    Optional<Route> route =
        catalog.get().batchRoute(progress.job().hostName(), progress.job().path());
    switch (progress.decideOnRoute(
        route.isPresent(),
        services.fleet().catalogConfirmedNanos(),
        services.nanoClock().getAsLong())) {
      case CONFIRM -> {
        suspendItems(progress);
        refreshConfiguration.run();
      }
      case WAIT -> suspendItems(progress);
      case GIVE_UP -> {
        cancelWaitingItems(progress);
        for (JobItem item : progress.unfinishedItems()) {
          if (run(id, item).isEmpty()) {
            giveUp(progress, item, "no route");
          }
        }
      }
      case RUN -> runItems(progress, route.get());
    }
  }

  /** Returns the run of an item, if it waits or runs. */
  private Optional<ItemRun> run(JobId job, JobItem item) {
    return Optional.ofNullable(runs.getOrDefault(job, Map.of()).get(item.id()));
  }

  /** Lets items that do not run yet wait without a demand. */
  private void suspendItems(RequestJobProgress progress) {
    runs.getOrDefault(progress.job().id(), Map.of())
        .values()
        .forEach(run -> run.follow(Optional.empty()));
  }

  private void runItems(RequestJobProgress progress, Route route) {
    JobId id = progress.job().id();
    boolean isPastRetention = isPastRetention(progress.job(), route);
    for (JobItem item : progress.unfinishedItems()) {
      Optional<ItemRun> run = run(id, item);
      if (run.isPresent() && (run.get().isRunning() || !isPastRetention)) {
        run.get().follow(Optional.of(route));
      } else if (isPastRetention) {
        endRun(progress, item.id());
        giveUp(progress, item, "retention");
      } else if (activeItems < MAX_ACTIVE_ITEMS) {
        startItem(progress, item, route);
      }
    }
  }

  /** Returns whether peers may not have answered yet. */
  private boolean isDiscoveringPeers() {
    return services.nanoClock().getAsLong() - startNanos < PEER_DISCOVERY_TIME.toNanos();
  }

  /** Cancels items that do not run yet; the host that now owns the job runs them. */
  private void cancelWaitingItems(RequestJobProgress progress) {
    Map<String, ItemRun> running = runs.get(progress.job().id());
    if (running == null) {
      return;
    }
    for (Map.Entry<String, ItemRun> entry : ImmutableMap.copyOf(running).entrySet()) {
      if (!entry.getValue().isRunning()) {
        endRun(progress, entry.getKey());
      }
    }
  }

  private void giveUp(RequestJobProgress progress, JobItem item, String reason) {
    services
        .log()
        .add(
            "jobs",
            "given up",
            "job",
            progress.job().id(),
            "item",
            item.id(),
            "reason",
            reason,
            "version",
            services.fleet().catalog().map(Catalog::version).orElse(0L));
    progress.recordPermanentFailure(item.id());
    scheduleWrite(progress);
  }

  private void startItem(RequestJobProgress progress, JobItem item, Route route) {
    if (services.placements().hasQuarantine()
        && services
            .placements()
            .findQuarantined(services.dialect().promptParts(item))
            .isPresent()) {
      // It is tried again when the quarantine is over.
      return;
    }
    ItemRun run =
        new ItemRun(services, progress, item, route, milliClock.getAsLong(), this, itemDurations);
    runs.computeIfAbsent(progress.job().id(), key -> new HashMap<>()).put(item.id(), run);
    activeItems++;
    run.start();
  }

  private boolean isPastRetention(RequestJob job, Route route) {
    return milliClock.getAsLong() - job.submittedMillis()
        > route.retentionMillis() + RETENTION_MARGIN.toMillis();
  }

  /** Returns the most characters of an output; a longer one fits into no part of results. */
  long maxOutputCharacters() {
    return store.maxResultBytes();
  }

  /** Returns whether the platform accepts the result of an item. */
  boolean canBeWritten(String item, String output) {
    return RequestJobStore.resultBytes(new Result(item, true, output)) <= store.maxResultBytes();
  }

  /** Ends the run of an item that has an outcome or no longer needs one. */
  void endRun(RequestJobProgress progress, String item) {
    Map<String, ItemRun> running = runs.get(progress.job().id());
    ItemRun run = running == null ? null : running.remove(item);
    if (run != null) {
      activeItems--;
      run.cancel();
      if (running.isEmpty()) {
        runs.remove(progress.job().id());
      }
    }
    scheduleWrite(progress);
  }

  private boolean isOwner(RequestJob job) {
    ImmutableList<PeerAddress> connected = services.placements().livePeers(true);
    ImmutableList.Builder<JobOwner.Candidate> candidates = ImmutableList.builder();
    candidates.add(new JobOwner.Candidate(self.host(), self.startedMillis()));
    connected.forEach(
        peer -> candidates.add(new JobOwner.Candidate(peer.host(), peer.startedMillis())));
    Optional<HostId> owner = JobOwner.of(job, candidates.build());
    return owner.filter(self.host()::equals).isPresent();
  }

  private void scheduleWrite(RequestJobProgress progress) {
    JobId id = progress.job().id();
    if (!progress.hasResultsToWrite() || !writing.add(id)) {
      return;
    }
    long wait = progress.unfinishedItems().isEmpty() ? 0 : WRITE_DELAY.toMillis();
    loop().schedule(() -> write(progress), wait, TimeUnit.MILLISECONDS);
  }

  private void write(RequestJobProgress progress) {
    JobId id = progress.job().id();
    Optional<ResultPart> part =
        progress.nextResultPart(author, store.maxResultBytes(), RequestJobStore::resultBytes);
    if (part.isEmpty()) {
      writing.remove(id);
      return;
    }
    int number = progress.nextPartNumber();
    executor.execute(
        () -> {
          Optional<ResultPart> stored = Optional.empty();
          try {
            WriteOutcome outcome = store.createPart(id, number, part.get(), WRITE_ATTEMPTS);
            if (outcome.result() == WriteOutcome.Result.TOO_LARGE) {
              loop().execute(() -> onTooLarge(progress, number, part.get()));
              return;
            }
            stored = outcome.isApplied() ? part : store.readPart(id, number);
          } catch (PlatformException e) {
            logger.atFine().log(
                "jobs: platform did not confirm results part %d of %s; retrying in %d ms: %s",
                number, id, WRITE_RETRY_DELAY.toMillis(), e.getMessage());
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                "jobs: cannot write results part %d of %s; retrying in %d ms",
                number, id, WRITE_RETRY_DELAY.toMillis());
          }
          Optional<ResultPart> result = stored;
          loop().execute(() -> onWritten(progress, number, result));
        });
  }

  private void onTooLarge(RequestJobProgress progress, int number, ResultPart part) {
    services
        .log()
        .add(
            "jobs",
            "part too large",
            "job",
            progress.job().id(),
            "part",
            number,
            "count",
            part.results().size(),
            "bytes",
            part.results().stream().mapToLong(RequestJobStore::resultBytes).sum());
    if (part.results().size() == 1) {
      progress.postpone(part.results().get(0));
    }
    loop().schedule(() -> write(progress), WRITE_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void onWritten(RequestJobProgress progress, int number, Optional<ResultPart> stored) {
    JobId id = progress.job().id();
    if (stored.isEmpty()) {
      loop().schedule(() -> write(progress), WRITE_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
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
            stored.get().results().size(),
            "own",
            stored.get().author().equals(author));
    writing.remove(id);
    table.applyPart(progress, number, stored.get());
    scheduleWrite(progress);
  }
}
