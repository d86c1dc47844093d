package org.trefoilbarrow.coordination.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;

/**
 * What this host believes of the others. Nothing that must hold depends on it.
 *
 * <p>A host is thought live while it answered a heartbeat recently, or while its record in the
 * platform is new and no heartbeat to it has failed since. Thread-safe.
 */
public final class MembershipView {
  private final HostId self;
  private final Duration suspectAfter;
  private final Duration forgetAfter;
  private final Map<HostId, Peer> peers = new HashMap<>();

  /** What is known of one peer. Times are readings of this host's monotonic clock. */
  private static final class Peer {
    HostStatus status;
    long statusSeenNanos;
    long heardNanos;
    boolean silent;
    boolean listed = true;

    Peer(HostStatus status, long nowNanos) {
      this.status = status;
      this.statusSeenNanos = nowNanos;
      this.heardNanos = nowNanos;
    }
  }

  /**
   * Creates a view without peers.
   *
   * @param suspectAfter how long a peer that answers no heartbeat is still thought live
   * @param forgetAfter how long a peer whose record does not change is still tried
   */
  public MembershipView(HostId self, Duration suspectAfter, Duration forgetAfter) {
    this.self = checkNotNull(self, "self");
    this.suspectAfter = checkNotNull(suspectAfter, "suspectAfter");
    this.forgetAfter = checkNotNull(forgetAfter, "forgetAfter");
  }

  /** Records the status of a host as the platform or the host itself tells it. */
  public synchronized void onStatus(HostStatus status, long nowNanos) {
    if (status.host().equals(self)) {
      return;
    }
    Peer peer = peers.computeIfAbsent(status.host(), unused -> new Peer(status, nowNanos));
    peer.listed = true;
    if (isNewer(status, peer.status)) {
      if (status.incarnation() > peer.status.incarnation()) {
        peer.silent = false;
        peer.heardNanos = nowNanos;
      }
      peer.status = status;
      peer.statusSeenNanos = nowNanos;
    }
  }

  /** Records that the platform no longer lists a host. */
  public synchronized void onUnlisted(HostId host) {
    Peer peer = peers.get(host);
    if (peer != null) {
      peer.listed = false;
    }
  }

  /** Records a peer's answer to a message. */
  public synchronized void onMessageReceived(
      HostId host, long incarnation, boolean leaving, long nowNanos) {
    Peer peer = peers.get(host);
    if (peer == null || incarnation < peer.status.incarnation()) {
      return;
    }
    HostStatus old = peer.status;
    peer.status =
        new HostStatus(
            host,
            incarnation,
            old.peerAddress(),
            old.callerAddress(),
            old.failureDomain(),
            leaving || (old.leaving() && old.incarnation() == incarnation),
            old.heartbeat());
    peer.heardNanos = nowNanos;
    peer.silent = false;
  }

  /** Records that a message to a peer was not answered. */
  public synchronized void onNoAnswer(HostId host, long nowNanos) {
    Peer peer = peers.get(host);
    if (peer != null && nowNanos - peer.heardNanos >= suspectAfter.toNanos()) {
      peer.silent = true;
    }
  }

  /** Records that a peer's address refuses connections: its process is most likely gone. */
  public synchronized void onConnectionRefused(HostId host) {
    Peer peer = peers.get(host);
    if (peer != null) {
      peer.silent = true;
    }
  }

  /** Returns the peers to which heartbeats are sent. */
  public synchronized List<HostStatus> peers(long nowNanos) {
    return peers.values().stream()
        .filter(peer -> !isForgotten(peer, nowNanos))
        .map(peer -> peer.status)
        .toList();
  }

  /** Returns the peers thought live and not leaving. */
  public synchronized List<HostStatus> livePeers(long nowNanos) {
    return peers.values().stream()
        .filter(peer -> !isForgotten(peer, nowNanos))
        .filter(peer -> !peer.silent && !peer.status.leaving())
        .map(peer -> peer.status)
        .toList();
  }

  /** Returns the number of peers that answered within the given time. */
  public synchronized int countResponsiveWithin(Duration time, long nowNanos) {
    return (int)
        peers.values().stream()
            .filter(peer -> !isForgotten(peer, nowNanos))
            .filter(peer -> nowNanos - peer.heardNanos < time.toNanos())
            .count();
  }

  /** Returns the status of a host, if it is known. */
  public synchronized Optional<HostStatus> status(HostId host) {
    return Optional.ofNullable(peers.get(host)).map(peer -> peer.status);
  }

  /** Returns the number of peers that have a record in the platform, silent ones among them. */
  public synchronized int listedCount() {
    return (int) peers.values().stream().filter(peer -> peer.listed).count();
  }

  /**
   * Returns whether the given incarnation of a host certainly no longer runs, because a newer one
   * does. Silence proves nothing.
   */
  public synchronized boolean isSuperseded(HostId host, long incarnation) {
    Peer peer = peers.get(host);
    if (peer == null) {
      return false;
    }
    return peer.status.incarnation() > incarnation;
  }

  private boolean isForgotten(Peer peer, long nowNanos) {
    long lastSign = Math.max(peer.heardNanos, peer.statusSeenNanos);
    return !peer.listed || nowNanos - lastSign >= forgetAfter.toNanos();
  }

  private static boolean isNewer(HostStatus status, HostStatus known) {
    if (status.incarnation() != known.incarnation()) {
      return status.incarnation() > known.incarnation();
    }
    return status.heartbeat() > known.heartbeat();
  }
}
