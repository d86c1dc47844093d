package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ForwardingPlatform;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.transport.platform.CollectionWatcher;

/**
 * A platform whose watches go through a peer while one can serve them, and to the platform
 * otherwise. A watch that follows on one that failed or missed a change first reads the changes
 * from a peer that knows them, so that a host that the platform refuses still follows what its
 * peers know. All other calls go to the platform. Thread-safe.
 */
public final class RelayedPlatform extends ForwardingPlatform {
  private final PeerWatches peers;
  private final CollectionRevisions revisions;
  private final boolean watchesThroughPeers;
  private final OutageGate gate;

  /** The collections whose last watch has failed or missed a change. */
  private final Set<ObjectKind> behind = ConcurrentHashMap.newKeySet();

  /** What a peer sent to a watch that fell behind; the next list of the collection returns it. */
  private final Map<ObjectKind, ObjectPage> snapshots = new ConcurrentHashMap<>();

  /**
   * Creates a platform.
   *
   * @param revisions what tells whether a watch has missed a change
   * @param watchesThroughPeers whether watches wait at a peer while one can serve them
   */
  public RelayedPlatform(
      Platform platform,
      PeerWatches peers,
      CollectionRevisions revisions,
      boolean watchesThroughPeers,
      OutageGate gate) {
    super(platform);
    this.peers = checkNotNull(peers, "peers");
    this.revisions = checkNotNull(revisions, "revisions");
    this.watchesThroughPeers = watchesThroughPeers;
    this.gate = checkNotNull(gate, "gate");
  }

  /**
   * {@inheritDoc}
   *
   * <p>A watch that is ended since it has missed a change returns without changes, as if its wait
   * were over; the next one then catches up. The platform has not failed by that.
   */
  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    boolean catchesUp = behind.remove(kind);
    Optional<ChangeBatch> batch = watch(kind, afterRevision, wait, catchesUp);
    if (revisions.hasMissed(kind)) {
      behind.add(kind);
    }
    return batch;
  }

  private Optional<ChangeBatch> watch(
      ObjectKind kind, long afterRevision, Duration wait, boolean catchesUp) {
    WatchAnswer answer = WatchAnswer.UNAVAILABLE;
    if (catchesUp) {
      answer = peers.readMissed(kind, afterRevision);
    } else if (watchesThroughPeers) {
      answer = peers.watch(kind, afterRevision, wait);
    }
    if (answer instanceof WatchAnswer.Changes changes) {
      return Optional.of(changes.batch());
    }
    if (answer instanceof WatchAnswer.Snapshot snapshot) {
      snapshots.put(kind, snapshot.page());
      return Optional.empty();
    }
    gate.awaitRegained();
    try {
      return super.watch(kind, afterRevision, catchesUp ? CollectionWatcher.CATCH_UP_WAIT : wait);
    } catch (PlatformException e) {
      behind.add(kind);
      if (!revisions.hasMissed(kind)) {
        throw e;
      }
      return Optional.of(new ChangeBatch(afterRevision, ImmutableList.of()));
    }
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
