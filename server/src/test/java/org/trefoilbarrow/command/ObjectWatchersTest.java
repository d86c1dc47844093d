package org.trefoilbarrow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.transport.platform.CollectionWatcher;

public final class ObjectWatchersTest {
  private static final long TIMEOUT_SECONDS = 20;

  private EventLoop loop;

  /** A platform with two objects in its list, and two changes in its first watch. */
  private static final class TwoObjectPlatform implements Platform {
    private final CountDownLatch endOfWatches = new CountDownLatch(1);

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
      return new ObjectPage(
          2,
          ImmutableList.of(
              new VersionedObject("a", 1, "odd"), new VersionedObject("b", 2, "sound")),
          true);
    }

    @Override
    public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
      if (afterRevision > 2) {
        try {
          endOfWatches.await();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      return Optional.of(
          new ChangeBatch(
              5,
              ImmutableList.of(
                  new ObjectChange("a", 3, Optional.of("odd")),
                  new ObjectChange("a", 4, Optional.empty()),
                  new ObjectChange("c", 5, Optional.of("sound")))));
    }
  }

  @BeforeMethod
  public void startLoop() {
    loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  }

  @AfterMethod(alwaysRun = true)
  public void stopLoop() {
    loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  public void failedHandlerOfOneObjectLeavesTheOthersHandled() throws InterruptedException {
    BlockingQueue<String> handled = new LinkedBlockingQueue<>();
    CountDownLatch wholeRead = new CountDownLatch(1);
    ObjectWatchers watchers =
        new ObjectWatchers(
            new TwoObjectPlatform(), loop, Duration.ofSeconds(1), kind -> wholeRead.countDown());
    try (CollectionWatcher watcher =
        watchers.of(
            ObjectKind.HOST,
            object -> {
              if (object.value().equals("odd")) {
                throw new IllegalArgumentException("cannot handle " + object.name());
              }
              handled.add(object.name());
            },
            name -> {
              throw new IllegalStateException("cannot remove " + name);
            })) {
      watcher.start();
      assertEquals(handled.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "b");
      assertEquals(handled.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c");
      assertTrue(wholeRead.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the read is not reported");
    }
  }
}
