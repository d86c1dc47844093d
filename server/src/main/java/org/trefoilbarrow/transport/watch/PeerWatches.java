package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.coordination.watch.WatchedCollections;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.WatchResultMessage;

/**
 * Watches collections of the platform through the peers that dispatch, in fleets whose own watches
 * would be too many calls, and reads what this host has missed from the peers that know it. A watch
 * ends without a result as soon as its peer is lost or is not sure to hear from the platform; the
 * caller then asks the platform itself. Except for {@link #watch} and {@link #readMissed}, used
 * only on the event loop's thread.
 */
public final class PeerWatches implements PlacementClient.MessageHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long an answer may take beyond the requested wait. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  /** How long a peer may take to send changes that it knows. */
  private static final Duration READ_TIMEOUT = Duration.ofMillis(500);

  /** How long the first watch of a collection waits for the links of a host that has started. */
  private static final Duration FIRST_PEER_TIMEOUT = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final PeerAddress self;
  private final Supplier<ImmutableList<PeerAddress>> livePeers;
  private final Predicate<HostId> connected;
  private final CollectionRevisions revisions;
  private final BiConsumer<HostId, LinkMessage> sender;
  private final int minHosts;
  private final IntSupplier hostCount;
  private final Set<ObjectKind> begun = EnumSet.noneOf(ObjectKind.class);
  private final Map<Long, PeerWatch> watches = new HashMap<>();
  private long nextNumber;
  private long relayedCount;

  private static final class PeerWatch {
    final ObjectKind kind;
    final long afterRevision;
    final Duration wait;
    final CompletableFuture<WatchAnswer> result = new CompletableFuture<>();
    Optional<HostId> peer = Optional.empty();

    PeerWatch(ObjectKind kind, long afterRevision, Duration wait) {
      this.kind = kind;
      this.afterRevision = afterRevision;
      this.wait = wait;
    }

    /** Returns whether the peer answers at once. */
    boolean isRead() {
      return wait.isZero();
    }
  }

  /**
   * Creates an instance without watches.
   *
   * @param livePeers the live peers that are connected to the platform
   * @param connected whether this host is connected to another, which may be one that serves
   *     callers
   * @param revisions the changes of collections that hosts tell each other of
   * @param sender sends a message to a peer
   * @param minHosts the number of registered hosts from which watches go through peers
   * @param hostCount the number of registered hosts; 0 while it is not known
   */
  public PeerWatches(
      EventLoop loop,
      PeerAddress self,
      Supplier<ImmutableList<PeerAddress>> livePeers,
      Predicate<HostId> connected,
      CollectionRevisions revisions,
      BiConsumer<HostId, LinkMessage> sender,
      int minHosts,
      IntSupplier hostCount) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.livePeers = checkNotNull(livePeers, "livePeers");
    this.connected = checkNotNull(connected, "connected");
    this.revisions = checkNotNull(revisions, "revisions");
    this.sender = checkNotNull(sender, "sender");
    this.minHosts = minHosts;
    this.hostCount = checkNotNull(hostCount, "hostCount");
  }

  /** Returns the number of watches that a peer has answered. */
  public long relayedCount() {
    return relayedCount;
  }

  /**
   * Waits for changes through a peer. May be called on any thread but the event loop's.
   *
   * @return the answer of a peer; {@link WatchAnswer#UNAVAILABLE} if none can tell
   */
  WatchAnswer watch(ObjectKind kind, long afterRevision, Duration wait) {
    PeerWatch watch = new PeerWatch(kind, afterRevision, wait);
    loop.execute(() -> begin(watch));
    return await(watch, wait.plus(FIRST_PEER_TIMEOUT).plus(ANSWER_TIMEOUT));
  }

  /**
   * Reads the changes after a revision from a peer that knows later ones. May be called on any
   * thread but the event loop's.
   *
   * @return the answer of the peer; {@link WatchAnswer#UNAVAILABLE} if no peer knows of later
   *     changes, or it does not have them
   */
  WatchAnswer readMissed(ObjectKind kind, long afterRevision) {
    ImmutableList<HostId> peers = revisions.peersAhead(kind, afterRevision);
    if (peers.isEmpty() || !WatchedCollections.PASSED_ON_BY_JOB_HOSTS.contains(kind)) {
      return WatchAnswer.UNAVAILABLE;
    }
    PeerWatch read = new PeerWatch(kind, afterRevision, Duration.ZERO);
    loop.execute(() -> beginRead(read, peers));
    WatchAnswer answer = await(read, READ_TIMEOUT);
    return answer.isAfter(afterRevision) ? answer : WatchAnswer.UNAVAILABLE;
  }

  private WatchAnswer await(PeerWatch watch, Duration timeout) {
    try {
      return watch.result.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      logger.atInfo().log(
          "watch: no peer answered a watch of %s within %d ms; asking the platform",
          watch.kind.collection(), timeout.toMillis());
      loop.execute(() -> watches.values().remove(watch));
      return WatchAnswer.UNAVAILABLE;
    } catch (ExecutionException e) {
      throw new IllegalStateException("the result of a watch is never an exception", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return WatchAnswer.UNAVAILABLE;
    }
  }

  private void begin(PeerWatch watch) {
    long number = nextNumber++;
    watches.put(number, watch);
    boolean first = begun.add(watch.kind);
    if (!send(number, watch) && !(first && mayGetPeer())) {
      end(number, WatchAnswer.UNAVAILABLE);
    } else if (watch.peer.isEmpty()) {
      loop.schedule(
          () -> endWithoutPeer(number), FIRST_PEER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Prefers a peer that is connected to the platform; the others know the change as well. */
  private void beginRead(PeerWatch read, ImmutableList<HostId> peersAhead) {
    ImmutableList<PeerAddress> live =
        livePeers.get().stream()
            .filter(peer -> peersAhead.contains(peer.host()))
            .collect(ImmutableList.toImmutableList());
    Optional<HostId> peer =
        choose(read.kind, live).or(() -> peersAhead.stream().filter(connected).findFirst());
    if (peer.isEmpty()) {
      read.result.complete(WatchAnswer.UNAVAILABLE);
      return;
    }
    long number = nextNumber++;
    watches.put(number, read);
    sendTo(peer.get(), number, read);
  }

  private boolean mayGetPeer() {
    return hostCount.getAsInt() == 0 || isEnabled();
  }

  private boolean isEnabled() {
    return hostCount.getAsInt() >= minHosts;
  }

  /** Sends a watch to a peer; returns whether there is one. */
  private boolean send(long number, PeerWatch watch) {
    Optional<HostId> peer = isEnabled() ? choosePeer(watch.kind) : Optional.empty();
    peer.ifPresent(chosen -> sendTo(chosen, number, watch));
    return peer.isPresent();
  }

  private void sendTo(HostId peer, long number, PeerWatch watch) {
    watch.peer = Optional.of(peer);
    sender.accept(peer, WatchMessages.watch(number, watch.kind, watch.afterRevision, watch.wait));
  }

  private Optional<HostId> choosePeer(ObjectKind kind) {
    // Hosts of earlier versions register without a failure domain, and answer no watches.
    return choose(
        kind,
        livePeers.get().stream()
            .filter(peer -> !peer.failureDomain().isEmpty())
            .collect(ImmutableList.toImmutableList()));
  }

  /** Prefers a peer in the own failure domain, as bytes between domains may be expensive. */
  private Optional<HostId> choose(ObjectKind kind, ImmutableList<PeerAddress> peers) {
    ImmutableList<HostId> near =
        peers.stream()
            .filter(peer -> peer.failureDomain().equals(self.failureDomain()))
            .map(PeerAddress::host)
            .collect(ImmutableList.toImmutableList());
    ImmutableList<HostId> all =
        peers.stream().map(PeerAddress::host).collect(ImmutableList.toImmutableList());
    return Rendezvous.owner(self.host() + "/" + kind.collection(), near.isEmpty() ? all : near);
  }

  /** Ends the watches of peers that are lost, and begins those that wait for a peer. */
  public void onPeersChanged() {
    ImmutableList<HostId> live =
        livePeers.get().stream().map(PeerAddress::host).collect(ImmutableList.toImmutableList());
    for (Map.Entry<Long, PeerWatch> entry : ImmutableList.copyOf(watches.entrySet())) {
      PeerWatch watch = entry.getValue();
      if (watch.isRead()) {
        continue;
      }
      if (watch.peer.isEmpty() && !mayGetPeer()) {
        end(entry.getKey(), WatchAnswer.UNAVAILABLE);
      } else if (watch.peer.isEmpty()) {
        send(entry.getKey(), watch);
      } else if (!live.contains(watch.peer.get())) {
        end(entry.getKey(), WatchAnswer.UNAVAILABLE);
      }
    }
  }

  /** Ends the watches of a collection as if their wait were over, so that they begin anew. */
  public void beginAnew(ObjectKind kind) {
    for (Map.Entry<Long, PeerWatch> entry : ImmutableList.copyOf(watches.entrySet())) {
      PeerWatch watch = entry.getValue();
      if (watch.kind == kind) {
        end(entry.getKey(), WatchAnswer.noChanges(watch.afterRevision));
      }
    }
  }

  private void endWithoutPeer(long number) {
    PeerWatch watch = watches.get(number);
    if (watch != null && watch.peer.isEmpty()) {
      end(number, WatchAnswer.UNAVAILABLE);
    }
  }

  @Override
  public void received(HostId from, LinkMessage message, Reply reply) {
    if (message.isSetWatchResult()) {
      WatchResultMessage result = message.getWatchResult();
      WatchAnswer answer = WatchMessages.answerOf(result);
      relayedCount += answer.equals(WatchAnswer.UNAVAILABLE) ? 0 : 1;
      end(result.getWatch(), answer);
    }
  }

  private void end(long number, WatchAnswer answer) {
    PeerWatch ended = watches.remove(number);
    if (ended != null) {
      ended.result.complete(answer);
    }
  }
}
