package org.trefoilbarrow.transport.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;

public final class CollectionWatcherTest {
  private static final long PATIENCE_SECONDS = 20;
  private static final Duration WAIT = Duration.ofSeconds(15);

  /** A platform that ends its first watch, drops its history, and says so at the end of a wait. */
  private static final class ForgetfulPlatform implements Platform {
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
        throw new PlatformException("the watch is cut off", null, false);
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
  public void aForgottenHistoryIsNoticedSoonAfterAWatchWasCutOff() throws Exception {
    ForgetfulPlatform platform = new ForgetfulPlatform();
    BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    try (CollectionWatcher watcher =
        new CollectionWatcher(
            platform,
            ObjectKind.CONFIGURATION,
            page -> seen.add(page.objects().get(0).value()),
            batch -> {},
            () -> {},
            WAIT,
            Duration.ZERO)) {
      watcher.start();
      assertEquals(seen.poll(PATIENCE_SECONDS, TimeUnit.SECONDS), "version 1");
      assertEquals(seen.poll(PATIENCE_SECONDS, TimeUnit.SECONDS), "version 2");
    }
    ImmutableList<Duration> waits = ImmutableList.copyOf(platform.waits);
    assertEquals(waits.get(0), WAIT);
    assertTrue(waits.get(1).compareTo(Duration.ofSeconds(1)) < 0, "waited " + waits.get(1));
  }
}
