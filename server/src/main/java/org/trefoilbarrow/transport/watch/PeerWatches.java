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
import java.util.function.Supplier;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.link.generated.WatchResultMessage;

/**
 * Watches collections of the platform through the peers that dispatch, in fleets whose own watches
 * would be too many calls. A watch ends without a result as soon as its peer is lost or is not sure
 * to hear from the platform; the caller then asks the platform itself. Except for {@link #watch},
 * used only on the event loop's thread.
 */
public final class PeerWatches implements PlacementClient.MessageHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long an answer may take beyond the requested wait. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  /** How long the first watch of a collection waits for the links of a host that has started. */
  private static final Duration FIRST_PEER_TIMEOUT = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final PeerAddress self;
  private final Supplier<ImmutableList<PeerAddress>> livePeers;
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
    final CompletableFuture<WatchAnswer> result;
    Optional<HostId> peer = Optional.empty();

    PeerWatch(
        ObjectKind kind, long afterRevision, Duration wait, CompletableFuture<WatchAnswer> result) {
      this.kind = kind;
      this.afterRevision = afterRevision;
      this.wait = wait;
      this.result = result;
    }
  }

  /**
   * Creates an instance without watches.
   *
   * @param livePeers the live peers that are connected to the platform
   * @param sender sends a message to a peer
   * @param minHosts the number of registered hosts from which watches go through peers
   * @param hostCount the number of registered hosts; 0 while it is not known
   */
  public PeerWatches(
      EventLoop loop,
      PeerAddress self,
      Supplier<ImmutableList<PeerAddress>> livePeers,
      BiConsumer<HostId, LinkMessage> sender,
      int minHosts,
      IntSupplier hostCount) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.livePeers = checkNotNull(livePeers, "livePeers");
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
    CompletableFuture<WatchAnswer> result = new CompletableFuture<>();
    PeerWatch watch = new PeerWatch(kind, afterRevision, wait, result);
    loop.execute(() -> begin(watch));
    Duration timeout = wait.plus(FIRST_PEER_TIMEOUT).plus(ANSWER_TIMEOUT);
    try {
      return result.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      logger.atInfo().log(
          "watch: no peer answered a watch of %s within %d ms; asking the platform",
          kind.collection(), timeout.toMillis());
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

  private boolean mayGetPeer() {
    return hostCount.getAsInt() == 0 || isEnabled();
  }

  private boolean isEnabled() {
    return hostCount.getAsInt() >= minHosts;
  }

  /** Sends a watch to a peer; returns whether there is one. */
  private boolean send(long number, PeerWatch watch) {
    watch.peer = isEnabled() ? choosePeer(watch.kind) : Optional.empty();
    watch.peer.ifPresent(
        peer ->
            sender.accept(
                peer, WatchMessages.watch(number, watch.kind, watch.afterRevision, watch.wait)));
    return watch.peer.isPresent();
  }

  /** Prefers a peer in the own failure domain, as bytes between domains may be expensive. */
  private Optional<HostId> choosePeer(ObjectKind kind) {
    // Hosts of earlier versions register without a failure domain, and answer no watches.
    ImmutableList<PeerAddress> peers =
        livePeers.get().stream()
            .filter(peer -> !peer.failureDomain().isEmpty())
            .collect(ImmutableList.toImmutableList());
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
      if (watch.peer.isEmpty() && !mayGetPeer()) {
        end(entry.getKey(), WatchAnswer.UNAVAILABLE);
      } else if (watch.peer.isEmpty()) {
        send(entry.getKey(), watch);
      } else if (!live.contains(watch.peer.get())) {
        end(entry.getKey(), WatchAnswer.UNAVAILABLE);
      }
    }
  }

  /** Ends the watches of a collection, so that the platform itself is asked. */
  public void endAll(ObjectKind kind) {
    ImmutableList.copyOf(watches.entrySet()).stream()
        .filter(entry -> entry.getValue().kind == kind)
        .forEach(entry -> end(entry.getKey(), WatchAnswer.UNAVAILABLE));
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
