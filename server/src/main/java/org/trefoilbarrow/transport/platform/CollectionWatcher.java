package org.trefoilbarrow.transport.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.CollectionReader;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;

/**
 * Keeps a table up to date with a collection: reads a snapshot, then watches for changes.
 *
 * <p>If a watch fell behind the history of the platform, a snapshot is read again.
 */
public final class CollectionWatcher implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration DEFAULT_WATCH_WAIT = Duration.ofSeconds(20);

  /**
   * The wait of the first watch after one that failed or missed a change. Platforms may report only
   * at the end of the wait that the history from which to resume is gone.
   */
  public static final Duration CATCH_UP_WAIT = Duration.ofMillis(100);

  private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

  private final Platform platform;
  private final ObjectKind kind;
  private final Consumer<ObjectPage> onSnapshot;
  private final Consumer<ChangeBatch> onChanges;
  private final Runnable onOutage;
  private final Duration watchWait;
  private final Duration delayAfterChanges;
  private final CountDownLatch firstRead = new CountDownLatch(1);
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Creates a watcher; {@link #start} starts it.
   *
   * @param onSnapshot receives each snapshot
   * @param onChanges receives changes
   * @param onOutage runs after each call that the platform did not answer
   */
  public CollectionWatcher(
      Platform platform,
      ObjectKind kind,
      Consumer<ObjectPage> onSnapshot,
      Consumer<ChangeBatch> onChanges,
      Runnable onOutage) {
    this(platform, kind, onSnapshot, onChanges, onOutage, DEFAULT_WATCH_WAIT, Duration.ZERO);
  }

  /**
   * Creates a watcher whose watches wait for the given time; {@link #start} starts it.
   *
   * @param watchWait the longest time that one watch waits for a change
   * @param delayAfterChanges the delay of the next watch after changes, so that changes in quick
   *     succession take one call
   */
  public CollectionWatcher(
      Platform platform,
      ObjectKind kind,
      Consumer<ObjectPage> onSnapshot,
      Consumer<ChangeBatch> onChanges,
      Runnable onOutage,
      Duration watchWait,
      Duration delayAfterChanges) {
    this.platform = checkNotNull(platform, "platform");
    this.kind = checkNotNull(kind, "kind");
    this.onSnapshot = checkNotNull(onSnapshot, "onSnapshot");
    this.onChanges = checkNotNull(onChanges, "onChanges");
    this.onOutage = checkNotNull(onOutage, "onOutage");
    this.watchWait = checkNotNull(watchWait, "watchWait");
    this.delayAfterChanges = checkNotNull(delayAfterChanges, "delayAfterChanges");
    this.thread = new Thread(this::run, "watch-" + kind.collection());
    this.thread.setDaemon(true);
  }

  /** Starts to watch the collection on a thread of its own. */
  public void start() {
    thread.start();
  }

  /** Waits until the first snapshot was read; returns false on a timeout. */
  public boolean awaitFirstRead(Duration timeout) throws InterruptedException {
    return firstRead.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }

  /** Follows the collection until closed. An error ends no more than one read or one watch. */
  private void run() {
    long revision = -1;
    Duration wait = watchWait;
    Duration backoff = FIRST_BACKOFF;
    while (!closed) {
      try {
        revision = revision < 0 ? readSnapshot() : watch(revision, wait);
        wait = watchWait;
        backoff = FIRST_BACKOFF;
      } catch (PlatformException e) {
        logger.atFine().log("platform: watch of %s failed: %s", kind.collection(), e.getMessage());
        wait = CATCH_UP_WAIT;
        backoff = backOffAfterOutage(backoff);
      } catch (RuntimeException | Error e) {
        logger.atSevere().withCause(e).log(
            "platform: watch of %s failed; reading a snapshot", kind.collection());
        revision = -1;
        backoff = backOffAfterOutage(backoff);
      }
    }
  }

  private long readSnapshot() {
    ObjectPage page = CollectionReader.readAll(platform, kind, "");
    onSnapshot.accept(page);
    firstRead.countDown();
    return page.revision();
  }

  private long watch(long revision, Duration wait) {
    Optional<ChangeBatch> batch = platform.watch(kind, revision, wait);
    if (batch.isEmpty()) {
      logger.atInfo().log(
          "platform: watch of %s fell behind; reading a snapshot", kind.collection());
      return -1;
    }
    onChanges.accept(batch.get());
    if (!batch.get().changes().isEmpty()) {
      sleep(delayAfterChanges);
    }
    return Math.max(revision, batch.get().revision());
  }

  private Duration backOffAfterOutage(Duration backoff) {
    onOutage.run();
    sleep(backoff);
    return Backoff.next(backoff, MAX_BACKOFF);
  }

  private static void sleep(Duration time) {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException e) {
      // Interrupted by close(), which also ends the loop.
      Thread.currentThread().interrupt();
    }
  }
}
