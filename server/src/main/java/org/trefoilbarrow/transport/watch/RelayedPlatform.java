package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
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

  /** Creates a platform that prefers the watches of peers. */
  public RelayedPlatform(Platform platform, PeerWatches peers) {
    this.platform = checkNotNull(platform, "platform");
    this.peers = checkNotNull(peers, "peers");
  }

  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    Optional<ChangeBatch> relayed = peers.watch(kind, afterRevision, wait);
    return relayed.isPresent() ? relayed : platform.watch(kind, afterRevision, wait);
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
    return platform.list(kind, prefix, after, limit);
  }
}
