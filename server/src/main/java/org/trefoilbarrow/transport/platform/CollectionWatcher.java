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
 * Keeps a table equal to a collection: reads the whole collection, then follows its changes.
 *
 * <p>A watch that fell behind reads the whole collection again.
 */
public final class CollectionWatcher implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration DEFAULT_WATCH_WAIT = Duration.ofSeconds(20);

  /**
   * The wait of the first watch after one that failed. Platforms may tell only at the end of a wait
   * that the history from which to continue is gone.
   */
  private static final Duration CATCH_UP_WAIT = Duration.ofMillis(100);

  private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

  private final Platform platform;
  private final ObjectKind kind;
  private final Consumer<ObjectPage> onWhole;
  private final Consumer<ChangeBatch> onChanges;
  private final Runnable onOutage;
  private final Duration watchWait;
  private final Duration pauseAfterChanges;
  private final CountDownLatch firstRead = new CountDownLatch(1);
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Creates a watcher; {@link #start} begins its work.
   *
   * @param onWhole takes the whole collection
   * @param onChanges takes changes
   * @param onOutage runs after each call that the platform did not answer
   */
  public CollectionWatcher(
      Platform platform,
      ObjectKind kind,
      Consumer<ObjectPage> onWhole,
      Consumer<ChangeBatch> onChanges,
      Runnable onOutage) {
    this(platform, kind, onWhole, onChanges, onOutage, DEFAULT_WATCH_WAIT, Duration.ZERO);
  }

  /**
   * Creates a watcher whose watches wait for the given time; {@link #start} begins its work.
   *
   * @param watchWait the longest time of one watch
   * @param pauseAfterChanges how long after changes the next watch begins: changes that come close
   *     together are then one call
   */
  public CollectionWatcher(
      Platform platform,
      ObjectKind kind,
      Consumer<ObjectPage> onWhole,
      Consumer<ChangeBatch> onChanges,
      Runnable onOutage,
      Duration watchWait,
      Duration pauseAfterChanges) {
    this.platform = checkNotNull(platform, "platform");
    this.kind = checkNotNull(kind, "kind");
    this.onWhole = checkNotNull(onWhole, "onWhole");
    this.onChanges = checkNotNull(onChanges, "onChanges");
    this.onOutage = checkNotNull(onOutage, "onOutage");
    this.watchWait = checkNotNull(watchWait, "watchWait");
    this.pauseAfterChanges = checkNotNull(pauseAfterChanges, "pauseAfterChanges");
    this.thread = new Thread(this::run, "watch-" + kind.collection());
    this.thread.setDaemon(true);
  }

  /** Begins to follow the collection on a thread of its own. */
  public void start() {
    thread.start();
  }

  /** Waits until the whole collection was read once; returns false if the time ran out. */
  public boolean awaitFirstRead(Duration time) throws InterruptedException {
    return firstRead.await(time.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }

  private void run() {
    long revision = -1;
    Duration wait = watchWait;
    Duration backoff = FIRST_BACKOFF;
    while (!closed) {
      try {
        revision = revision < 0 ? readWhole() : follow(revision, wait);
        wait = watchWait;
        backoff = FIRST_BACKOFF;
      } catch (PlatformException e) {
        logger.atFine().log("platform: watch of %s failed: %s", kind.collection(), e.getMessage());
        wait = CATCH_UP_WAIT;
        backoff = pauseAfterOutage(backoff);
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("platform: watch of %s failed", kind.collection());
        revision = -1;
        backoff = pauseAfterOutage(backoff);
      }
    }
  }

  private long readWhole() {
    ObjectPage page = CollectionReader.readAll(platform, kind, "");
    onWhole.accept(page);
    firstRead.countDown();
    return page.revision();
  }

  private long follow(long revision, Duration wait) {
    Optional<ChangeBatch> batch = platform.watch(kind, revision, wait);
    if (batch.isEmpty()) {
      logger.atInfo().log("platform: watch of %s fell behind", kind.collection());
      return -1;
    }
    onChanges.accept(batch.get());
    if (!batch.get().changes().isEmpty()) {
      pause(pauseAfterChanges);
    }
    return Math.max(revision, batch.get().revision());
  }

  private Duration pauseAfterOutage(Duration backoff) {
    onOutage.run();
    pause(backoff);
    Duration doubled = backoff.multipliedBy(2);
    return doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
  }

  private static void pause(Duration time) {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException e) {
      // close() interrupts; the loop then ends.
      Thread.currentThread().interrupt();
    }
  }
}
