package org.trefoilbarrow.transport.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.base.Throwables;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;

/**
 * After a failed watch, the next one waits only briefly, so that a watcher notices soon if the
 * platform has dropped the history from which to resume.
 */
public final class CollectionWatcherTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final Duration WAIT = Duration.ofSeconds(15);

  /** A platform that fails the first watch, drops its history, and reports it after the wait. */
  private static final class HistoryDroppingPlatform implements Platform {
    final BlockingQueue<Duration> waits = new LinkedBlockingQueue<>();
    private int lists;

    @Override
    public Optional<VersionedObject> read(ObjectKind kind, String name) {
      return Optional.empty();
    }

    @Override
    public Optional<Long> write(ObjectKind kind, String name, long expectedVersion, String value) {
      return Optional.empty();
    }

    @Override
    public Optional<Long> delete(ObjectKind kind, String name, long expectedVersion) {
      return Optional.empty();
    }

    @Override
    public ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
      lists++;
      VersionedObject object = new VersionedObject("a", lists, "version " + lists);
      return new ObjectPage(lists, ImmutableList.of(object), true);
    }

    @Override
    public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
      waits.add(wait);
      if (waits.size() == 1) {
        throw new PlatformException("the watch failed", null, false);
      }
      try {
        Thread.sleep(wait.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return Optional.empty();
    }
  }

  @Test
  public void droppedHistoryIsDetectedSoonAfterAFailedWatch() throws Exception {
    HistoryDroppingPlatform platform = new HistoryDroppingPlatform();
    BlockingQueue<String> snapshots = new LinkedBlockingQueue<>();
    try (CollectionWatcher watcher =
        new CollectionWatcher(
            platform,
            ObjectKind.CONFIGURATION,
            page -> snapshots.add(page.objects().get(0).value()),
            batch -> {},
            () -> {},
            WAIT,
            Duration.ZERO)) {
      watcher.start();
      assertEquals(snapshots.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "version 1");
      assertEquals(snapshots.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "version 2");
    }
    ImmutableList<Duration> waits = ImmutableList.copyOf(platform.waits);
    assertEquals(waits.get(0), WAIT);
    assertTrue(waits.get(1).compareTo(Duration.ofSeconds(1)) < 0, "waited " + waits.get(1));
  }

  @DataProvider
  public Object[][] failures() {
    return new Object[][] {
      {new IllegalStateException("a handler failed")},
      {new StackOverflowError("a handler recursed too deeply")},
      {new OutOfMemoryError("a handler needed too much")}
    };
  }

  @Test(dataProvider = "failures")
  public void failedHandlerDoesNotEndTheWatch(Throwable failure) throws Exception {
    BlockingQueue<String> snapshots = new LinkedBlockingQueue<>();
    AtomicBoolean failed = new AtomicBoolean();
    try (CollectionWatcher watcher =
        new CollectionWatcher(
            new HistoryDroppingPlatform(),
            ObjectKind.CONFIGURATION,
            page -> {
              if (failed.compareAndSet(false, true)) {
                Throwables.throwIfUnchecked(failure);
              }
              snapshots.add(page.objects().get(0).value());
            },
            batch -> {},
            () -> {},
            WAIT,
            Duration.ZERO)) {
      watcher.start();
      assertEquals(snapshots.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "version 2");
    }
  }
}
