package org.trefoilbarrow.transport.watch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.FaultyPlatform;
import org.trefoilbarrow.state.ForwardingPlatform;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.platform.CollectionWatcher;

/** Checks how a host whose watch has missed a change, or fails, learns what its peers know. */
public final class CatchUpTest {
  private static final ObjectKind KIND = ObjectKind.CONFIGURATION;
  private static final Duration WAIT = Duration.ofSeconds(15);
  private static final HostId PEER = HostId.of("peer");
  private static final ChangeBatch NONE = new ChangeBatch(10, ImmutableList.of());
  private static final ChangeBatch CHANGES =
      new ChangeBatch(12, ImmutableList.of(new ObjectChange("main", 12, Optional.of("new"))));
  private static final ObjectPage PAGE =
      new ObjectPage(12, ImmutableList.of(new VersionedObject("main", 12, "new")), true);

  private EventLoopGroup group;
  private CollectionRevisions revisions;
  private RefusingPlatform platform;
  private WatchAnswer answerOfPeer;
  private boolean peerIsConnected;
  private PeerWatches peers;
  private RelayedPlatform relayed;

  /** A platform that answers no watch. */
  private static final class RefusingPlatform extends ForwardingPlatform {
    final List<Duration> waits = new ArrayList<>();
    Runnable whileWaiting = () -> {};

    RefusingPlatform() {
      super(new FaultyPlatform(1));
    }

    @Override
    public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
      waits.add(wait);
      whileWaiting.run();
      throw new PlatformException("refused", null, true);
    }
  }

  @BeforeMethod
  public void createHost() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    revisions = new CollectionRevisions();
    platform = new RefusingPlatform();
    answerOfPeer = WatchAnswer.UNAVAILABLE;
    peerIsConnected = true;
    EventLoop loop = group.next();
    PeerAddress self = new PeerAddress(HostId.of("self"), "127.0.0.1", 1, false, "d", 1);
    peers =
        new PeerWatches(
            loop,
            self,
            ImmutableList::of,
            host -> peerIsConnected,
            revisions,
            (to, message) -> loop.execute(() -> answer(to, message)),
            1,
            () -> 1);
    relayed =
        new RelayedPlatform(platform, peers, revisions, false, new OutageGate(OutageGate.MAX_WAIT));
  }

  @AfterMethod(alwaysRun = true)
  public void stopLoop() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private void answer(HostId to, LinkMessage message) {
    LinkMessage result = WatchMessages.result(message.getWatch().getWatch(), answerOfPeer);
    peers.received(to, result, none -> {});
  }

  /** Each row: what the peer answers, and what the watch returns. */
  @DataProvider
  public Object[][] answersWithChanges() {
    return new Object[][] {
      {new WatchAnswer.Changes(CHANGES), Optional.of(CHANGES)},
      {new WatchAnswer.Snapshot(PAGE), Optional.empty()},
    };
  }

  /** A dispatching host that the platform refused granted by a limit that had been replaced. */
  @Test(dataProvider = "answersWithChanges")
  public void hostThatThePlatformRefusesReadsChangesFromAPeer(
      WatchAnswer answer, Optional<ChangeBatch> expected) {
    revisions.recordTold(KIND, 12, Optional.of(PEER), 0);
    answerOfPeer = answer;
    assertThrows(PlatformException.class, () -> relayed.watch(KIND, 10, WAIT));
    assertEquals(relayed.watch(KIND, 10, WAIT), expected);
    if (expected.isEmpty()) {
      assertEquals(relayed.list(KIND, "", "", 10), PAGE);
    }
    assertEquals(platform.waits, ImmutableList.of(WAIT));
  }

  /** Each row: what the peer answers, which does not help. */
  @DataProvider
  public Object[][] answersWithoutChanges() {
    return new Object[][] {
      {WatchAnswer.UNAVAILABLE},
      {WatchAnswer.noChanges(10)},
      {new WatchAnswer.Snapshot(new ObjectPage(9, ImmutableList.of(), true))},
    };
  }

  @Test(dataProvider = "answersWithoutChanges")
  public void platformIsAskedIfThePeerHasNoChanges(WatchAnswer answer) {
    revisions.recordTold(KIND, 12, Optional.of(PEER), 0);
    answerOfPeer = answer;
    assertThrows(PlatformException.class, () -> relayed.watch(KIND, 10, WAIT));
    assertThrows(PlatformException.class, () -> relayed.watch(KIND, 10, WAIT));
    assertEquals(platform.waits, ImmutableList.of(WAIT, CollectionWatcher.CATCH_UP_WAIT));
  }

  @Test
  public void peerThatIsNotConnectedIsNotWaitedFor() {
    revisions.recordTold(KIND, 12, Optional.of(PEER), 0);
    answerOfPeer = new WatchAnswer.Changes(CHANGES);
    peerIsConnected = false;
    assertThrows(PlatformException.class, () -> relayed.watch(KIND, 10, WAIT));
    assertThrows(PlatformException.class, () -> relayed.watch(KIND, 10, WAIT));
  }

  /**
   * An answer that claims to be later than a change and does not have it would hide it for good.
   */
  @Test
  public void answerThatPassesOverAChangeOfAPeerIsReplacedByASnapshot() {
    ForwardingPlatform answers =
        new ForwardingPlatform(platform) {
          @Override
          public Optional<ChangeBatch> watch(ObjectKind kind, long afterRevision, Duration wait) {
            return Optional.of(new ChangeBatch(15, ImmutableList.of()));
          }
        };
    TrackedPlatform tracked = new TrackedPlatform(answers, revisions, () -> 0);
    assertEquals(tracked.watch(KIND, 10, WAIT).map(ChangeBatch::revision), Optional.of(15L));
    revisions.recordTold(KIND, 12, Optional.of(PEER), 0);
    assertEquals(tracked.watch(KIND, 10, WAIT), Optional.empty());
    assertEquals(tracked.watch(KIND, 12, WAIT).map(ChangeBatch::revision), Optional.of(15L));
  }

  /**
   * A watch that was ended for a missed change counted as an outage, in which servers whose entries
   * are gone are kept for a time.
   */
  @Test
  public void watchThatMissedAChangeEndsWithoutFailureAndTheNextOneCatchesUp() {
    revisions.beginWatch(KIND, 10, 0);
    revisions.recordTold(KIND, 12, Optional.of(PEER), 0);
    platform.whileWaiting = () -> revisions.takeMissed(Long.MAX_VALUE);
    assertEquals(relayed.watch(KIND, 10, WAIT), Optional.of(NONE));
    platform.whileWaiting = () -> {};
    revisions.beginWatch(KIND, 10, 0);
    assertThrows(PlatformException.class, () -> relayed.watch(KIND, 10, WAIT));
    assertEquals(platform.waits, ImmutableList.of(WAIT, CollectionWatcher.CATCH_UP_WAIT));
  }
}
