package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.coordination.watch.CollectionRevisions.MissedChange;
import org.trefoilbarrow.coordination.watch.WatchedCollections;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.metrics.FleetMetrics;
import org.trefoilbarrow.transport.platform.PlatformProbe;
import org.trefoilbarrow.transport.watch.OutageGate;
import org.trefoilbarrow.transport.watch.PeerWatches;
import org.trefoilbarrow.transport.watch.RecordedPlatform;
import org.trefoilbarrow.transport.watch.RelayedPlatform;
import org.trefoilbarrow.transport.watch.TrackedPlatform;
import org.trefoilbarrow.transport.watch.WatchRelay;

/**
 * How a host watches the platform: a host that serves callers does so through the others once the
 * fleet is large enough, and the others pass on what they receive. Hosts tell each other what they
 * know, so that one whose watch has missed a change reads it from another.
 */
final class PlatformWatches {
  /**
   * How long ago the platform may have responded to a host that passes changes on. With the probe's
   * interval and timeout, a receiver is at most two seconds behind, less than the time within which
   * operators' decisions must be in force.
   */
  private static final Duration RELAY_RESPONSE_TIMEOUT = Duration.ofMillis(1500);

  /**
   * The longest wait of a watch that other hosts depend on: when its response is lost, they are
   * behind for no longer than a host may be after trouble of the platform.
   */
  private static final Duration RELAY_MAX_WAIT = Duration.ofSeconds(4);

  private static final Duration RELAY_PROBE_INTERVAL = Duration.ofMillis(500);

  /** How often the watches are checked for changes that they have missed. */
  private static final Duration MISSED_CHECK_INTERVAL = Duration.ofMillis(100);

  private final boolean jobHost;
  private final int minHosts;

  private final PlatformAdapter.ConnectedPlatform connection;
  private final Platform platform;
  private final CollectionRevisions revisions;
  private final WatchRelay relay;
  private final PeerWatches peers;
  private final EventLoop loop;
  private final EventLog log;
  private final LongSupplier nanoClock;
  private final OutageGate gate = new OutageGate(OutageGate.MAX_WAIT);
  private volatile int hostCount;
  private long missedCount;

  /**
   * Creates the watches of a host.
   *
   * @param revisions the changes of collections that hosts tell each other of
   * @param minHosts the number of registered hosts from which hosts watch through each other
   */
  PlatformWatches(
      PlatformAdapter.ConnectedPlatform connection,
      PeerAddress self,
      PlacementClient placements,
      CollectionRevisions revisions,
      int minHosts,
      EventLoop loop,
      EventLog log,
      FleetMetrics metrics,
      LongSupplier nanoClock) {
    this.connection = checkNotNull(connection, "connection");
    this.revisions = checkNotNull(revisions, "revisions");
    this.loop = checkNotNull(loop, "loop");
    this.log = checkNotNull(log, "log");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.jobHost = !self.servesCallers();
    this.minHosts = minHosts;
    this.relay = newRelay();
    this.peers =
        new PeerWatches(
            loop,
            self,
            () -> placements.livePeers(true),
            placements::isConnectedTo,
            revisions,
            placements::send,
            minHosts,
            () -> hostCount);
    placements.onPeersChanged(peers::onPeersChanged);
    Platform relayed =
        new RelayedPlatform(connection, peers, revisions, self.servesCallers(), gate);
    Platform recorded = new RecordedPlatform(relayed, relay, this::maxWait);
    this.platform = new TrackedPlatform(recorded, revisions, nanoClock);
    metrics.gauge("watches_served_to_peers", relay::servedCount);
    metrics.gauge("watches_through_peers", peers::relayedCount);
    metrics.gauge("watches_begun_anew", () -> missedCount);
  }

  private WatchRelay newRelay() {
    return new WatchRelay(
        loop,
        jobHost
            ? WatchedCollections.PASSED_ON_BY_JOB_HOSTS
            : WatchedCollections.PASSED_ON_BY_CALLER_HOSTS,
        () ->
            nanoClock.getAsLong() - connection.lastResponseNanos()
                < RELAY_RESPONSE_TIMEOUT.toNanos(),
        nanoClock);
  }

  /** Starts to look for changes that watches have missed. */
  void start() {
    relay.start();
    loop.scheduleAtFixedRate(
        () -> revisions.takeMissed(nanoClock.getAsLong()).forEach(this::beginAnew),
        MISSED_CHECK_INTERVAL.toMillis(),
        MISSED_CHECK_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Ends the watch that has missed a change; the watcher then begins it anew. */
  private void beginAnew(MissedChange missed) {
    missedCount++;
    log.add(
        "platform",
        "behind",
        "collection",
        missed.kind().collection(),
        "watchedAfter",
        missed.watchedAfter(),
        "revision",
        missed.revision(),
        "peers",
        missed.peers().size());
    peers.beginAnew(missed.kind());
    if (missed.peers().isEmpty()) {
      // Without peers that would tell, the other watches may have missed changes as well.
      connection.abortWatches();
    } else if (revisions.hasMissed(missed.kind())) {
      connection.abortWatch(missed.kind());
    }
  }

  /** Returns the platform to watch collections with. */
  Platform platform() {
    return platform;
  }

  /** Returns a handler that also handles the messages of watches. */
  PlacementClient.MessageHandler with(PlacementClient.MessageHandler other) {
    return (from, message, reply) -> {
      if (message.isSetWatch()) {
        relay.received(from, message, reply);
      } else if (message.isSetWatchResult()) {
        peers.received(from, message, reply);
      } else {
        other.received(from, message, reply);
      }
    };
  }

  /** Sets the number of registered hosts. */
  void setHostCount(int count) {
    hostCount = count;
  }

  /** Records whether the probe of the platform fails. */
  void setLost(boolean lost) {
    gate.setLost(lost && isLargeFleet());
  }

  private Duration maxWait() {
    return jobHost && isLargeFleet() ? RELAY_MAX_WAIT : Duration.ofMinutes(1);
  }

  private boolean isLargeFleet() {
    return hostCount >= minHosts;
  }

  /** Returns the interval at which this host probes the platform. */
  Duration probeInterval() {
    return jobHost && isLargeFleet() ? RELAY_PROBE_INTERVAL : PlatformProbe.INTERVAL;
  }
}
