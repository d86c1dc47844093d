package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;

/**
 * A platform whose watches go through a peer while one can serve them, and to the platform
 * otherwise. All other calls go to the platform. Thread-safe.
 */
public final class RelayedPlatform implements Platform {
  private final Platform platform;
  private final PeerWatches peers;
  private final OutageGate gate;

  /** What a peer sent to a watch that fell behind; the next list of the collection returns it. */
  private final Map<ObjectKind, ObjectPage> snapshots = new ConcurrentHashMap<>();

  /** Creates a platform that prefers the watches of peers. */
  public RelayedPlatform(Platform platform, PeerWatches peers, OutageGate gate) {
    this.platform = checkNotNull(platform, "platform");
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
    return platform.watch(kind, afterRevision, wait);
  }

  @Override
  public Optional<VersionedObject> read(ObjectKind kind, String name) {
    return platform.read(kind, name);
  }

  @Override
  public Optional<Long> write(ObjectKind kind, String name, long expectedVersion, String value) {
    return platform.write(kind, name, expectedVersion, value);
  }

  @Override
  public Optional<Long> delete(ObjectKind kind, String name, long expectedVersion) {
    return platform.delete(kind, name, expectedVersion);
  }

  @Override
  public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
    Optional<ObjectPage> snapshot =
        prefix.isEmpty() && after.isEmpty()
            ? Optional.ofNullable(snapshots.remove(kind))
            : Optional.empty();
    return snapshot.orElseGet(() -> platform.list(kind, prefix, after, limit));
  }
}
