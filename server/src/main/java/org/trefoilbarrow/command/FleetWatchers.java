package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.jobs.RequestJobTable;
import org.trefoilbarrow.transport.link.QuarantineStore;
import org.trefoilbarrow.transport.platform.CollectionWatcher;
import org.trefoilbarrow.transport.platform.PlatformProbe;

/** The watchers of a host's collections at the platform, and the probe of the platform. */
final class FleetWatchers {
  /** The timeout of a long poll; shorter than the time for which platforms keep their history. */
  private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(15);

  /**
   * Groups the changes of backend servers that start together. Short compared with the time for
   * draining a leaving backend server.
   */
  private static final Duration BACKEND_WATCH_DELAY = Duration.ofMillis(250);

  /** Groups the changes of hosts: all start together, and each receives the entry of each. */
  private static final Duration HOST_WATCH_DELAY = Duration.ofSeconds(1);

  /** Groups results, which arrive in bursts; a job's caller reads them about twice a second. */
  private static final Duration RESULT_WATCH_DELAY = Duration.ofMillis(250);

  private final PlatformAdapter.ConnectedPlatform platform;
  private final PlatformWatches watches;
  private final CollectionRevisions revisions;
  private final CollectionReads reads;
  private final BackendServerWatcher backends;
  private final ObjectWatchers objectWatchers;
  private final EventLog log;
  private final LongSupplier nanoClock;
  private final List<CollectionWatcher> watchers = new ArrayList<>();

  /**
   * Creates an instance that watches nothing yet.
   *
   * @param reads receives which collections were read
   */
  FleetWatchers(
      PlatformAdapter.ConnectedPlatform platform,
      PlatformWatches watches,
      CollectionRevisions revisions,
      CollectionReads reads,
      BackendServerWatcher backends,
      EventLoop loop,
      EventLog log,
      LongSupplier nanoClock) {
    this.platform = checkNotNull(platform, "platform");
    this.watches = checkNotNull(watches, "watches");
    this.revisions = checkNotNull(revisions, "revisions");
    this.reads = checkNotNull(reads, "reads");
    this.backends = checkNotNull(backends, "backends");
    this.objectWatchers =
        new ObjectWatchers(watches.platform(), loop, LONG_POLL_TIMEOUT, reads::onRead);
    this.log = checkNotNull(log, "log");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Adds the collections that every host watches. */
  void addFleet(
      CatalogFollower configuration,
      DrainedDomains drainedDomains,
      RegisteredHosts hosts,
      QuarantineStore quarantines) {
    watchers.add(objectWatchers.of(ObjectKind.CONFIGURATION, configuration::onChange, name -> {}));
    watchers.add(
        new CollectionWatcher(
            watches.platform(),
            ObjectKind.BACKEND_SERVER,
            page -> {
              backends.onSnapshot(page);
              reads.onRead(ObjectKind.BACKEND_SERVER);
            },
            backends::onChanges,
            backends::onOutage,
            LONG_POLL_TIMEOUT,
            BACKEND_WATCH_DELAY));
    watchers.add(
        objectWatchers.of(
            ObjectKind.DRAINED_DOMAIN, drainedDomains::onPut, drainedDomains::onDelete));
    watchers.add(
        objectWatchers.of(ObjectKind.HOST, hosts::onPut, hosts::onDelete, HOST_WATCH_DELAY));
    watchers.add(
        objectWatchers.of(ObjectKind.QUARANTINED_PART, quarantines::onPut, quarantines::onDelete));
  }

  /** Adds the collections that a host watches which runs jobs. */
  void addJobs(RequestJobTable jobs, Consumer<VersionedObject> onRemovalRequested) {
    watchers.add(
        objectWatchers.of(
            ObjectKind.JOB, object -> jobs.jobCreated(object.value()), jobs::jobRemoved));
    watchers.add(
        objectWatchers.of(
            ObjectKind.RESULT,
            object -> jobs.partCreated(object.name(), object.value()),
            name -> {},
            RESULT_WATCH_DELAY));
    watchers.add(objectWatchers.of(ObjectKind.JOB_END, object -> endJob(jobs, object), name -> {}));
    watchers.add(objectWatchers.of(ObjectKind.HOST_REMOVAL, onRemovalRequested, name -> {}));
  }

  private void endJob(RequestJobTable jobs, VersionedObject object) {
    log.add("jobs", "end known", "job", object.name(), "revision", object.version());
    jobs.jobCancelled(object.name());
  }

  /** Starts to watch all that was added, and to probe the platform. */
  void start() {
    watchers.forEach(CollectionWatcher::start);
    watches.start();
    new PlatformProbe(
            watches::probeInterval, this::probe, this::onPlatformLost, this::onPlatformRegained)
        .start();
  }

  private void probe() {
    long revision = platform.probe();
    revisions.recordTold(
        ObjectKind.CONFIGURATION, revision, Optional.empty(), nanoClock.getAsLong());
  }

  private void onPlatformLost() {
    log.add("platform", "lost");
    backends.onOutage();
    watches.setLost(true);
  }

  private void onPlatformRegained() {
    log.add("platform", "regained");
    backends.onOutage();
    platform.abortWatches();
    watches.setLost(false);
  }
}
