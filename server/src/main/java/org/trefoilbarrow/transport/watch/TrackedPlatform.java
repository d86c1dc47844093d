package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ForwardingPlatform;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;

/** A platform that records the revisions of the changes that this host knows. Thread-safe. */
public final class TrackedPlatform extends ForwardingPlatform {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final CollectionRevisions revisions;
  private final LongSupplier nanoClock;

  /** Creates a platform that records what is read, written and watched with it. */
  public TrackedPlatform(Platform platform, CollectionRevisions revisions, LongSupplier nanoClock) {
    super(platform);
    this.revisions = checkNotNull(revisions, "revisions");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    revisions.beginWatch(kind, afterRevision, nanoClock.getAsLong());
    try {
      Optional<ChangeBatch> batch = super.watch(kind, afterRevision, wait);
      if (batch.isPresent() && revisions.passesOver(kind, afterRevision, batch.get())) {
        logger.atWarning().log(
            "platform: watch of %s after revision %d passes over a change that a peer knows; "
                + "reading a snapshot",
            kind.collection(), afterRevision);
        return Optional.empty();
      }
      batch.ifPresent(found -> recordKnown(kind, found));
      return batch;
    } finally {
      revisions.endWatch(kind);
    }
  }

  private void recordKnown(ObjectKind kind, ChangeBatch batch) {
    batch.changes().stream()
        .mapToLong(ObjectChange::version)
        .max()
        .ifPresent(newest -> revisions.recordKnown(kind, newest));
  }

  @Override
  public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
    ObjectPage page = super.list(kind, prefix, after, limit);
    page.objects().stream()
        .mapToLong(VersionedObject::version)
        .max()
        .ifPresent(newest -> revisions.recordKnown(kind, newest));
    return page;
  }

  @Override
  public Optional<Long> write(ObjectKind kind, String name, long expectedVersion, String value) {
    Optional<Long> version = super.write(kind, name, expectedVersion, value);
    version.ifPresent(written -> revisions.recordKnown(kind, written));
    return version;
  }

  @Override
  public Optional<Long> delete(ObjectKind kind, String name, long expectedVersion) {
    Optional<Long> version = super.delete(kind, name, expectedVersion);
    version.ifPresent(deleted -> revisions.recordKnown(kind, deleted));
    return version;
  }
}
