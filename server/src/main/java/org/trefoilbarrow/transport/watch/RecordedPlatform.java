package org.trefoilbarrow.transport.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ForwardingPlatform;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;

/** A platform whose watches are recorded for the hosts that continue theirs here. Thread-safe. */
public final class RecordedPlatform extends ForwardingPlatform {
  private final WatchRelay relay;
  private final Supplier<Duration> maxWait;

  /**
   * Creates a platform that passes what its watches return to the relay.
   *
   * @param maxWait the longest wait of one watch: a watch whose response is lost keeps the changes
   *     from all receivers until its wait is over
   */
  public RecordedPlatform(Platform platform, WatchRelay relay, Supplier<Duration> maxWait) {
    super(platform);
    this.relay = checkNotNull(relay, "relay");
    this.maxWait = checkNotNull(maxWait, "maxWait");
  }

  @Override
  public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
    relay.beginWatch(kind, afterRevision);
    try {
      Optional<ChangeBatch> batch = super.watch(kind, afterRevision, shorter(wait, maxWait.get()));
      if (batch.isPresent()) {
        relay.append(kind, batch.get());
      } else {
        relay.pause(kind);
      }
      return batch;
    } catch (PlatformException e) {
      relay.pause(kind);
      relay.endWaiting(kind);
      throw e;
    }
  }

  @Override
  public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
    try {
      ObjectPage page = super.list(kind, prefix, after, limit);
      if (prefix.isEmpty()) {
        relay.addPage(kind, page, after.isEmpty());
      }
      return page;
    } catch (PlatformException e) {
      relay.endWaiting(kind);
      throw e;
    }
  }

  private static Duration shorter(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }
}
