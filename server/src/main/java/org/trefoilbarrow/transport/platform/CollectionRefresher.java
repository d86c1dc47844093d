package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.trefoilbarrow.state.CollectionReader;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;

/**
 * Reads a collection again when a decision needs to know that the cached objects are the newest
 * ones. A watch alone does not tell: its answer may be lost, which shows only when it times out.
 *
 * <p>At most one read is in progress, and there is a pause between two, longer after failed ones.
 * Used only on the event loop's thread; reads run on the executor.
 */
public final class CollectionRefresher {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration MIN_PAUSE = Duration.ofMillis(500);
  private static final Duration MAX_PAUSE = Duration.ofSeconds(8);

  private final Platform platform;
  private final ObjectKind kind;
  private final Executor executor;
  private final Executor loop;
  private final Listener listener;
  private final LongSupplier nanoClock;
  private Duration pause = MIN_PAUSE;
  private long nextReadNanos;
  private boolean reading;

  /** Receives the collection. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called with all objects.
     *
     * @param sinceNanos when the read began; all changes before it are in the page
     */
    void onRead(ObjectPage page, long sinceNanos);
  }

  /** Creates a refresher; the listener runs on the loop. */
  public CollectionRefresher(
      Platform platform,
      ObjectKind kind,
      Executor executor,
      Executor loop,
      Listener listener,
      LongSupplier nanoClock) {
    this.platform = checkNotNull(platform, "platform");
    this.kind = checkNotNull(kind, "kind");
    this.executor = checkNotNull(executor, "executor");
    this.loop = checkNotNull(loop, "loop");
    this.listener = checkNotNull(listener, "listener");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.nextReadNanos = nanoClock.getAsLong();
  }

  /** Begins a read unless one is in progress, or one has ended a moment ago. */
  public void refresh() {
    long now = nanoClock.getAsLong();
    if (reading || now - nextReadNanos < 0) {
      return;
    }
    reading = true;
    executor.execute(() -> read(now));
  }

  private void read(long sinceNanos) {
    try {
      ObjectPage page = CollectionReader.readAll(platform, kind, "");
      loop.execute(
          () -> {
            pause = MIN_PAUSE;
            endRead();
            listener.onRead(page, sinceNanos);
          });
    } catch (PlatformException e) {
      logger.atInfo().log(
          "platform: cannot confirm %s; retrying: %s", kind.collection(), e.getMessage());
      loop.execute(this::onFailure);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "platform: cannot confirm %s; retrying", kind.collection());
      loop.execute(this::onFailure);
    }
  }

  private void onFailure() {
    endRead();
    pause = Backoff.next(pause, MAX_PAUSE);
  }

  private void endRead() {
    reading = false;
    nextReadNanos = nanoClock.getAsLong() + pause.toNanos();
  }
}
