package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.transport.link.generated.HelloMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.PulseMessage;

/**
 * The links of this host to all registered hosts that can dispatch. Used only on the event loop's
 * thread.
 */
final class HostLinks {
  private final EventLoop loop;
  private final PeerAddress self;
  private final HeartbeatFactory heartbeats;
  private final LongSupplier nanoClock;
  private final Link.Listener listener;
  private final Map<HostId, Link> links = new LinkedHashMap<>();

  /** Creates the heartbeats that this host sends. */
  @FunctionalInterface
  interface HeartbeatFactory {
    /** Returns the source of the heartbeats, by their number, on a new connection to a peer. */
    LongFunction<PulseMessage> forConnection(HostId peer);
  }

  HostLinks(
      EventLoop loop,
      PeerAddress self,
      HeartbeatFactory heartbeats,
      LongSupplier nanoClock,
      Link.Listener listener) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.heartbeats = checkNotNull(heartbeats, "heartbeats");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.listener = checkNotNull(listener, "listener");
  }

  /** Connects to the peers that are new, and closes the links to those that are gone or moved. */
  void setPeers(Iterable<PeerAddress> peers) {
    Map<HostId, PeerAddress> current = new HashMap<>();
    for (PeerAddress peer : peers) {
      current.put(peer.host(), peer);
    }
    for (Link link : ImmutableList.copyOf(links.values())) {
      if (!link.peer().equals(current.get(link.peer().host()))) {
        links.remove(link.peer().host());
        link.close();
      }
    }
    for (PeerAddress peer : current.values()) {
      links.computeIfAbsent(peer.host(), host -> connect(peer));
    }
  }

  /** Returns the live peers. */
  ImmutableList<PeerAddress> live() {
    return select(Link::isLive);
  }

  /** Returns the live peers that are connected to the platform. */
  ImmutableList<PeerAddress> connectedToPlatform() {
    return select(Link::isConnectedToPlatform);
  }

  /** Returns whether hosts that serve callers get their slots from a peer. */
  boolean isChosenDispatcher(HostId peer) {
    Link link = links.get(peer);
    return link != null && link.isChosenDispatcher();
  }

  /** Returns whether this host connects to a host, which it does to those that can dispatch. */
  boolean has(HostId host) {
    return links.containsKey(host);
  }

  /** Returns whether a host is a live peer. */
  boolean isLive(HostId host) {
    Link link = links.get(host);
    return link != null && link.isLive();
  }

  /** Sends a message to a peer; it is dropped while the peer is not connected. */
  void send(HostId peer, LinkMessage message) {
    Link link = links.get(peer);
    if (link != null) {
      link.send(message);
    }
  }

  /** Returns the message by which this host identifies itself. */
  HelloMessage hello() {
    return new HelloMessage(self.host().value(), self.servesCallers(), self.startedMillis());
  }

  private ImmutableList<PeerAddress> select(Predicate<Link> condition) {
    return links.values().stream()
        .filter(condition)
        .map(Link::peer)
        .collect(ImmutableList.toImmutableList());
  }

  private Link connect(PeerAddress peer) {
    return new Link(
        loop, peer, hello(), () -> heartbeats.forConnection(peer.host()), nanoClock, listener);
  }
}
