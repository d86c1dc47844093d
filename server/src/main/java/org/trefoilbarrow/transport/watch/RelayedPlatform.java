package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ForwardingPlatform;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;

/**
 * A platform whose watches go through a peer while one can serve them, and to the platform
 * otherwise. All other calls go to the platform. Thread-safe.
 */
public final class RelayedPlatform extends ForwardingPlatform {
  private final PeerWatches peers;
  private final OutageGate gate;

  /** What a peer sent to a watch that fell behind; the next list of the collection returns it. */
  private final Map<ObjectKind, ObjectPage> snapshots = new ConcurrentHashMap<>();

  /** Creates a platform that prefers the watches of peers. */
  public RelayedPlatform(Platform platform, PeerWatches peers, OutageGate gate) {
    super(platform);
    this.peers = checkNotNull(peers, "peers");
    this.gate = checkNotNull(gate, "gate");
  }

  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    WatchAnswer answer = peers.watch(kind, afterRevision, wait);
    if (answer instanceof WatchAnswer.Changes changes) {
      return Optional.of(changes.batch());
    }
    if (answer instanceof WatchAnswer.Snapshot snapshot) {
      snapshots.put(kind, snapshot.page());
      return Optional.empty();
    }
    gate.awaitRegained();
    return super.watch(kind, afterRevision, wait);
  }

  @Override
  public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
    Optional<ObjectPage> snapshot =
        prefix.isEmpty() && after.isEmpty()
            ? Optional.ofNullable(snapshots.remove(kind))
            : Optional.empty();
    return snapshot.orElseGet(() -> super.list(kind, prefix, after, limit));
  }
}
