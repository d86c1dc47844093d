package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;

/** A platform whose watches are recorded for the hosts that continue theirs here. Thread-safe. */
public final class RecordedPlatform implements Platform {
  private final Platform platform;
  private final WatchRelay relay;
  private final OutageGate gate;

  /** Creates a platform that passes what its watches return to the relay. */
  public RecordedPlatform(Platform platform, WatchRelay relay, OutageGate gate) {
    this.platform = checkNotNull(platform, "platform");
    this.relay = checkNotNull(relay, "relay");
    this.gate = checkNotNull(gate, "gate");
  }

  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    gate.await();
    relay.beginWatch(kind, afterRevision);
    try {
      Optional<ChangeBatch> batch = platform.watch(kind, afterRevision, wait);
      batch.ifPresent(changes -> relay.append(kind, changes));
      return batch;
    } catch (PlatformException e) {
      relay.endWaiting(kind);
      throw e;
    }
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
    ObjectPage page = platform.list(kind, prefix, after, limit);
    if (prefix.isEmpty()) {
      relay.addPage(kind, page, after.isEmpty());
    }
    return page;
  }
}
