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
 * The other hosts as known to this one, and which of them are assumed live. It is only a hint: no
 * safety property depends on it.
 *
 * <p>A host is assumed live while it has answered a heartbeat recently, or while its record in the
 * platform is new and no heartbeat to it has failed since. Thread-safe.
 */
public final class MembershipView {
  private final HostId self;
  private final Duration suspectAfter;
  private final Duration removeAfter;
  private final Map<HostId, Peer> peers = new HashMap<>();

  /** The known state of one peer. Times are readings of this host's monotonic clock. */
  private static final class Peer {
    HostStatus status;
    long statusSeenNanos;
    long lastMessageNanos;
    boolean unresponsive;
    boolean listed = true;

    Peer(HostStatus status, long nowNanos) {
      this.status = status;
      this.statusSeenNanos = nowNanos;
      this.lastMessageNanos = nowNanos;
    }
  }

  /**
   * Creates a view without peers.
   *
   * @param suspectAfter how long a peer that answers no heartbeat is still assumed live
   * @param removeAfter how long heartbeats are still sent to a peer whose record does not change
   */
  public MembershipView(HostId self, Duration suspectAfter, Duration removeAfter) {
    this.self = checkNotNull(self, "self");
    this.suspectAfter = checkNotNull(suspectAfter, "suspectAfter");
    this.removeAfter = checkNotNull(removeAfter, "removeAfter");
  }

  /** Records the status of a host as reported by the platform or by the host itself. */
  public synchronized void onStatus(HostStatus status, long nowNanos) {
    if (status.host().equals(self)) {
      return;
    }
    Peer peer = peers.computeIfAbsent(status.host(), unused -> new Peer(status, nowNanos));
    peer.listed = true;
    if (isNewer(status, peer.status)) {
      if (status.incarnation() > peer.status.incarnation()) {
        peer.unresponsive = false;
        peer.lastMessageNanos = nowNanos;
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

  /** Records that a message or an answer of a peer was received. */
  public synchronized void onMessageReceived(
      HostId host, long incarnation, boolean leaving, long nowNanos) {
    Peer peer = peers.get(host);
    if (peer == null || incarnation < peer.status.incarnation()) {
      return;
    }
    HostStatus known = peer.status;
    peer.status =
        new HostStatus(
            host,
            incarnation,
            known.peerAddress(),
            known.callerAddress(),
            known.failureDomain(),
            leaving || (known.leaving() && known.incarnation() == incarnation),
            known.heartbeat());
    peer.lastMessageNanos = nowNanos;
    peer.unresponsive = false;
  }

  /** Records that a message to a peer was not answered. */
  public synchronized void onNoAnswer(HostId host, long nowNanos) {
    Peer peer = peers.get(host);
    if (peer != null && nowNanos - peer.lastMessageNanos >= suspectAfter.toNanos()) {
      peer.unresponsive = true;
    }
  }

  /** Records that a peer's address refuses connections: its process has most likely ended. */
  public synchronized void onConnectionRefused(HostId host) {
    Peer peer = peers.get(host);
    if (peer != null) {
      peer.unresponsive = true;
    }
  }

  /** Returns the peers to which heartbeats are sent. */
  public synchronized List<HostStatus> peers(long nowNanos) {
    return peers.values().stream()
        .filter(peer -> !isExpired(peer, nowNanos))
        .map(peer -> peer.status)
        .toList();
  }

  /** Returns the peers that are assumed live and are not leaving. */
  public synchronized List<HostStatus> livePeers(long nowNanos) {
    return peers.values().stream()
        .filter(peer -> !isExpired(peer, nowNanos))
        .filter(peer -> !peer.unresponsive && !peer.status.leaving())
        .map(peer -> peer.status)
        .toList();
  }

  /** Returns the number of peers from which a message was received within the given time. */
  public synchronized int countResponsiveWithin(Duration time, long nowNanos) {
    return (int)
        peers.values().stream()
            .filter(peer -> !isExpired(peer, nowNanos))
            .filter(peer -> nowNanos - peer.lastMessageNanos < time.toNanos())
            .count();
  }

  /** Returns the status of a host, if it is known. */
  public synchronized Optional<HostStatus> status(HostId host) {
    return Optional.ofNullable(peers.get(host)).map(peer -> peer.status);
  }

  /** Returns the number of peers that have a record in the platform, unresponsive ones included. */
  public synchronized int listedCount() {
    return (int) peers.values().stream().filter(peer -> peer.listed).count();
  }

  /**
   * Returns whether the given incarnation of a host certainly no longer runs, because a newer one
   * does. A lack of answers proves nothing.
   */
  public synchronized boolean isSuperseded(HostId host, long incarnation) {
    Peer peer = peers.get(host);
    if (peer == null) {
      return false;
    }
    return peer.status.incarnation() > incarnation;
  }

  private boolean isExpired(Peer peer, long nowNanos) {
    long lastSeenNanos = Math.max(peer.lastMessageNanos, peer.statusSeenNanos);
    return !peer.listed || nowNanos - lastSeenNanos >= removeAfter.toNanos();
  }

  private static boolean isNewer(HostStatus status, HostStatus known) {
    if (status.incarnation() != known.incarnation()) {
      return status.incarnation() > known.incarnation();
    }
    return status.heartbeat() > known.heartbeat();
  }
}
