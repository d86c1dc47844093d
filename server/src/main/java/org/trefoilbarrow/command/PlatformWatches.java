package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.function.LongSupplier;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.metrics.FleetMetrics;
import org.trefoilbarrow.transport.platform.PlatformProbe;
import org.trefoilbarrow.transport.watch.OutageGate;
import org.trefoilbarrow.transport.watch.PeerWatches;
import org.trefoilbarrow.transport.watch.RecordedPlatform;
import org.trefoilbarrow.transport.watch.RelayedPlatform;
import org.trefoilbarrow.transport.watch.WatchRelay;

/**
 * How a host watches the platform: a host that serves callers does so through the others once the
 * fleet is large enough, and the others pass on what they receive.
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

  private final boolean relays;
  private final int minHosts;
  private final Platform platform;
  private final PlacementClient.MessageHandler handler;
  private final OutageGate gate = new OutageGate(OutageGate.MAX_WAIT);
  private volatile int hostCount;

  /**
   * Creates the watches of a host.
   *
   * @param kinds the collections that all hosts watch
   * @param minHosts the number of registered hosts from which hosts watch through each other
   */
  PlatformWatches(
      PlatformAdapter.ConnectedPlatform platform,
      PeerAddress self,
      PlacementClient placements,
      Collection<ObjectKind> kinds,
      int minHosts,
      EventLoop loop,
      FleetMetrics metrics,
      LongSupplier nanoClock) {
    checkNotNull(platform, "platform");
    this.relays = !self.servesCallers();
    this.minHosts = minHosts;
    if (relays) {
      WatchRelay relay =
          new WatchRelay(
              loop,
              kinds,
              () ->
                  nanoClock.getAsLong() - platform.lastResponseNanos()
                      < RELAY_RESPONSE_TIMEOUT.toNanos(),
              nanoClock);
      relay.start();
      metrics.gauge("watches_served_to_peers", relay::servedCount);
      this.platform = new RecordedPlatform(platform, relay, gate, this::maxWait);
      this.handler = relay;
    } else {
      PeerWatches peers =
          new PeerWatches(
              loop,
              self,
              () -> placements.livePeers(true),
              placements::send,
              minHosts,
              () -> hostCount);
      placements.onPeersChanged(peers::onPeersChanged);
      metrics.gauge("watches_through_peers", peers::relayedCount);
      this.platform = new RelayedPlatform(platform, peers, gate);
      this.handler = peers;
    }
  }

  /** Returns the platform to watch collections with. */
  Platform platform() {
    return platform;
  }

  /** Returns a handler that also handles the messages of watches. */
  PlacementClient.MessageHandler with(PlacementClient.MessageHandler other) {
    return (from, message, reply) -> {
      if (message.isSetWatch() || message.isSetWatchResult()) {
        handler.received(from, message, reply);
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
    return isLargeFleet() ? RELAY_MAX_WAIT : Duration.ofMinutes(1);
  }

  private boolean isLargeFleet() {
    return hostCount >= minHosts;
  }

  /** Returns the interval at which this host probes the platform. */
  Duration probeInterval() {
    return relays && isLargeFleet() ? RELAY_PROBE_INTERVAL : PlatformProbe.INTERVAL;
  }
}
