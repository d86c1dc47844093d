package org.trefoilbarrow.state;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;

/** A platform that passes all calls on to another; subclasses change some of them. */
public abstract class ForwardingPlatform implements Platform {
  private final Platform delegate;

  /** Creates a platform that passes its calls on to the given one. */
  protected ForwardingPlatform(Platform delegate) {
    this.delegate = checkNotNull(delegate, "delegate");
  }

  @Override
  public Optional<VersionedObject> read(ObjectKind kind, String name) {
    return delegate.read(kind, name);
  }

  @Override
  public Optional<Long> write(ObjectKind kind, String name, long expectedVersion, String value) {
    return delegate.write(kind, name, expectedVersion, value);
  }

  @Override
  public Optional<Long> delete(ObjectKind kind, String name, long expectedVersion) {
    return delegate.delete(kind, name, expectedVersion);
  }

  @Override
  public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
    return delegate.list(kind, prefix, after, limit);
  }

  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    return delegate.watch(kind, afterRevision, wait);
  }
}
