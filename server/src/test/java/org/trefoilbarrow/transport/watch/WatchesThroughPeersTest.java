package org.trefoilbarrow.transport.watch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ForwardingPlatform;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.transport.link.PeerAddress;
import org.trefoilbarrow.transport.link.generated.LinkMessage;
import org.trefoilbarrow.transport.platform.CollectionWatcher;

/**
 * A fleet of hosts whose messages are passed in memory. Guards against calls to the platform that
 * grow with the hosts that serve callers, and against hosts that miss a change when a peer is lost
 * or no longer hears from the platform.
 */
public final class WatchesThroughPeersTest {
  private static final int CALLER_HOSTS = 100;
  private static final ObjectKind KIND = ObjectKind.BACKEND_SERVER;
  private static final Duration WAIT = Duration.ofSeconds(60);

  private final OutageGate gate = new OutageGate(Duration.ofHours(1));
  private EventLoopGroup group;
  private EventLoop loop;
  private CountingPlatform platform;
  private List<RelayHost> relays;
  private List<CallerHost> callers;
  private final List<CollectionWatcher> watchers = new ArrayList<>();

  /** A platform with one object, which counts the calls of hosts that serve callers. */
  private static final class CountingPlatform implements Platform {
    final AtomicInteger callerWatches = new AtomicInteger();
    final AtomicInteger failures = new AtomicInteger();
    private final List<ObjectChange> changes = new ArrayList<>();
    private boolean available = true;

    synchronized void change(String value) {
      changes.add(new ObjectChange("a", changes.size() + 1, Optional.of(value)));
      notifyAll();
    }

    synchronized void setAvailable(boolean newAvailable) {
      available = newAvailable;
      notifyAll();
    }

    @Override
    public synchronized Optional<ChangeBatch> watch(ObjectKind kind, long after, Duration wait) {
      long endNanos = System.nanoTime() + wait.toNanos();
      while (available && changes.size() <= after && System.nanoTime() - endNanos < 0) {
        try {
          wait(50);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return Optional.empty();
        }
      }
      if (!available) {
        failures.incrementAndGet();
        throw new PlatformException("the platform is down", null, true);
      }
      int from = (int) Math.min(after, changes.size());
      return Optional.of(new ChangeBatch(changes.size(), changes.subList(from, changes.size())));
    }

    @Override
    public synchronized ObjectPage list(ObjectKind kind, String prefix, String after, int limit) {
      if (!available) {
        throw new PlatformException("the platform is down", null, true);
      }
      ImmutableList<VersionedObject> objects =
          changes.isEmpty()
              ? ImmutableList.of()
              : ImmutableList.of(
                  new VersionedObject(
                      "a", changes.size(), Iterables.getLast(changes).value().get()));
      return new ObjectPage(changes.size(), objects, true);
    }

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
  }

  /** The platform as hosts that serve callers use it, with their watches counted. */
  private static final class CallerView extends ForwardingPlatform {
    private final AtomicInteger watches;

    CallerView(CountingPlatform platform) {
      super(platform);
      this.watches = platform.callerWatches;
    }

    @Override
    public Optional<ChangeBatch> watch(ObjectKind kind, long after, Duration wait) {
      watches.incrementAndGet();
      return super.watch(kind, after, wait);
    }
  }

  /** A host that watches the platform and serves the watches of others. */
  private final class RelayHost {
    final PeerAddress address;
    final WatchRelay relay;
    volatile boolean live = true;
    volatile boolean connectedToPlatform = true;

    RelayHost(String name) {
      address = new PeerAddress(HostId.of(name), "127.0.0.1", 1, false, "d-" + name, 1);
      relay =
          new WatchRelay(loop, ImmutableList.of(KIND), () -> connectedToPlatform, System::nanoTime);
      relay.start();
      watch(new RecordedPlatform(platform, relay, () -> WAIT), new ConcurrentHashMap<>());
    }
  }

  /** A host that serves callers. */
  private final class CallerHost {
    final Map<String, String> objects = new ConcurrentHashMap<>();
    final CollectionRevisions revisions = new CollectionRevisions();
    final PeerWatches peers;

    CallerHost(String name, String domain) {
      PeerAddress self = new PeerAddress(HostId.of(name), "127.0.0.1", 1, true, domain, 1);
      peers =
          new PeerWatches(
              loop,
              self,
              () ->
                  relays.stream()
                      .filter(relay -> relay.live)
                      .map(relay -> relay.address)
                      .collect(ImmutableList.toImmutableList()),
              host -> true,
              revisions,
              (to, message) -> send(self.host(), to, message),
              2,
              () -> CALLER_HOSTS);
      watch(new RelayedPlatform(new CallerView(platform), peers, revisions, true, gate), objects);
    }

    private void send(HostId self, HostId to, LinkMessage message) {
      relays.stream()
          .filter(relay -> relay.live && relay.address.host().equals(to))
          .forEach(
              relay ->
                  relay.relay.received(
                      self,
                      message,
                      answer -> loop.execute(() -> peers.received(to, answer, none -> {}))));
    }
  }

  private void watch(Platform watched, Map<String, String> objects) {
    CollectionWatcher watcher =
        new CollectionWatcher(
            watched,
            KIND,
            page -> page.objects().forEach(found -> objects.put(found.name(), found.value())),
            batch ->
                batch
                    .changes()
                    .forEach(change -> objects.put(change.name(), change.value().orElseThrow())),
            () -> {},
            WAIT,
            Duration.ZERO);
    watchers.add(watcher);
    watcher.start();
  }

  @BeforeMethod
  public void startFleet() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    platform = new CountingPlatform();
    relays = ImmutableList.of(new RelayHost("r0"), new RelayHost("r1"), new RelayHost("r2"));
    callers = new ArrayList<>();
    for (int index = 0; index < CALLER_HOSTS; index++) {
      callers.add(new CallerHost("c" + index, "d-r" + index % relays.size()));
    }
    changeEverywhere("first");
    platform.callerWatches.set(0);
  }

  @AfterMethod(alwaysRun = true)
  public void stopFleet() {
    watchers.forEach(CollectionWatcher::close);
    watchers.clear();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private void changeEverywhere(String value) {
    platform.change(value);
    awaitEverywhere(value);
  }

  private void awaitEverywhere(String value) {
    Eventually.that(
        value + " everywhere",
        () -> callers.stream().allMatch(caller -> value.equals(caller.objects.get("a"))));
  }

  private void onLoop(Runnable task) {
    loop.submit(task).syncUninterruptibly();
  }

  @Test
  public void changesTakeNoCallsOfHostsThatServeCallers() {
    for (int change = 0; change < 20; change++) {
      changeEverywhere("value " + change);
    }
    assertEquals(platform.callerWatches.get(), 0);
  }

  @DataProvider
  public Object[][] troubles() {
    Runnable loseOne =
        () -> {
          relays.get(0).live = false;
          callers.forEach(caller -> caller.peers.onPeersChanged());
        };
    Runnable cutOne =
        () -> {
          relays.get(0).connectedToPlatform = false;
        };
    Runnable loseAll =
        () -> {
          relays.forEach(relay -> relay.live = false);
          callers.forEach(caller -> caller.peers.onPeersChanged());
        };
    return new Object[][] {
      // What happens, and the most watches of the platform for one change: those of the hosts
      // whose peer is affected, once for the loss and once for the change.
      {"a peer is lost", loseOne, 2 * (CALLER_HOSTS / 3 + 1)},
      {"a peer is cut off from the platform", cutOne, 2 * (CALLER_HOSTS / 3 + 1)},
      {"all peers are lost", loseAll, 2 * CALLER_HOSTS},
    };
  }

  @Test(dataProvider = "troubles")
  public void noHostMissesAChangeWhenPeersAreInTrouble(
      String name, Runnable trouble, int maxWatches) {
    onLoop(trouble);
    changeEverywhere("after " + name);
    assertTrue(
        platform.callerWatches.get() <= maxWatches,
        name + ": " + platform.callerWatches.get() + " watches");
  }

  @Test
  public void changeDuringAnOutageOfThePlatformArrivesAfterIt() {
    platform.setAvailable(false);
    Eventually.that("a host has noticed the outage", () -> platform.callerWatches.get() > 0);
    platform.change("during the outage");
    platform.setAvailable(true);
    awaitEverywhere("during the outage");
    changeEverywhere("after the outage");
  }

  /** Without the gate, each host would watch the platform again and again while it is down. */
  @Test
  public void outageThatTheProbeHasNoticedTakesNoWatches() {
    gate.setLost(true);
    platform.setAvailable(false);
    Eventually.that("the peers have noticed", () -> platform.failures.get() >= relays.size());
    Eventually.pause(Duration.ofMillis(300));
    assertEquals(platform.callerWatches.get(), 0);
    platform.change("during the outage");
    platform.setAvailable(true);
    gate.setLost(false);
    awaitEverywhere("during the outage");
  }

  /** A peer that has lost its place and can't read the collection knows of no changes. */
  @Test
  public void peerThatDoesNotWatchSendsItsReceiversToThePlatform() {
    onLoop(() -> relays.forEach(host -> host.relay.pause(KIND)));
    Eventually.that(
        "the hosts watch the platform", () -> platform.callerWatches.get() >= CALLER_HOSTS);
    changeEverywhere("after the pause");
  }

  /** The history of the platform is gone, so that the peers read the collection again. */
  @Test
  public void peerWhoseWatchFellBehindSendsAllObjects() {
    onLoop(
        () ->
            relays.forEach(
                host -> {
                  ObjectPage page = platform.list(KIND, "", "", 10);
                  host.relay.addPage(
                      KIND,
                      new ObjectPage(
                          page.revision() + 10,
                          ImmutableList.of(new VersionedObject("a", page.revision() + 10, "read")),
                          true),
                      true);
                  host.relay.beginWatch(KIND, page.revision() + 10);
                }));
    Eventually.that(
        "what the peers read is everywhere",
        () -> callers.stream().allMatch(caller -> "read".equals(caller.objects.get("a"))));
    assertEquals(platform.callerWatches.get(), 0);
  }

  @Test
  public void relaysSurviveAReceiverThatAsksForAnUnknownCollection() {
    Set<LinkMessage> answers = ConcurrentHashMap.newKeySet();
    onLoop(
        () ->
            relays
                .get(0)
                .relay
                .received(
                    HostId.of("c0"),
                    WatchMessages.watch(1, ObjectKind.SHARE, 0, WAIT),
                    answers::add));
    assertEquals(answers.size(), 1);
    assertEquals(
        WatchMessages.answerOf(answers.iterator().next().getWatchResult()),
        WatchAnswer.UNAVAILABLE);
  }
}
