package org.trefoilbarrow.transport.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.dispatch.DispatchRules;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;

/** Checks the choice and the change of the dispatching host, with hosts linked over loopback. */
public final class PlacementClientTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final int SLOTS = 2;

  private EventLoopGroup group;

  @BeforeMethod
  public void createEventLoops() {
    group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
  }

  /** One host of the test. */
  private final class Host {
    final EventLoop loop;
    final FleetView fleet = new FleetView();
    final AtomicBoolean connectedToPlatform = new AtomicBoolean(true);
    final Dispatcher dispatcher = new Dispatcher(fleet, DispatchRules.DEFAULT, () -> 0.5);
    final PeerAddress self;
    final PlacementClient placements;

    Host(String name, boolean servesCallers) throws IOException {
      this(name, servesCallers, group.next());
    }

    Host(String name, boolean servesCallers, EventLoop loop) throws IOException {
      this.loop = loop;
      self = new PeerAddress(HostId.of(name), "127.0.0.1", freePort(), servesCallers, 1);
      PrintStream sink = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
      placements =
          new PlacementClient(
              loop,
              self,
              fleet,
              dispatcher,
              connectedToPlatform::get,
              System::nanoTime,
              new EventLog(sink, () -> 0));
      fleet.put(
          new BackendServer(
              BackendServerId.of("b"),
              "s",
              "127.0.0.1",
              1,
              FailureDomainId.of("d"),
              SLOTS,
              true,
              0));
      on(
          () -> {
            placements.start();
            return true;
          });
    }

    <T> T on(Callable<T> task) {
      return loop.submit(task).syncUninterruptibly().getNow();
    }

    long submit(BlockingQueue<String> decisions, String name) {
      DemandSpec demand =
          new DemandSpec(
              "s",
              Optional.empty(),
              0,
              false,
              System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS),
              System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS),
              true,
              ImmutableSet.of(),
              name);
      return on(() -> placements.submit(demand, listener(decisions, name)));
    }
  }

  private static PlacementListener listener(BlockingQueue<String> decisions, String name) {
    return new PlacementListener() {
      @Override
      public void placed(BackendServer backend) {
        decisions.add(name + " placed");
      }

      @Override
      public void refused(RefusalReason reason, long retryAfterMillis) {
        decisions.add(name + " refused");
      }

      @Override
      public void revoked() {
        decisions.add(name + " revoked");
      }
    };
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static void registerAll(List<Host> hosts) {
    ImmutableList<PeerAddress> all =
        hosts.stream().map(host -> host.self).collect(ImmutableList.toImmutableList());
    for (Host host : hosts) {
      host.on(
          () -> {
            host.placements.setPeers(all);
            return true;
          });
    }
  }

  @AfterMethod(alwaysRun = true)
  public void stopEventLoops() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  public void waitingDemandsMoveToNextDispatchingHostAndArePlacedOnce() throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host callers = new Host("callers", true);
    registerAll(List.of(first, second, callers));
    Eventually.that(
        "both hosts are live",
        () -> callers.on(() -> callers.placements.livePeers(true).size() == 2));

    BlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    List<Long> numbers = new ArrayList<>();
    for (int call = 0; call < SLOTS + 1; call++) {
      numbers.add(callers.submit(decisions, "c" + call));
    }
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c0 placed");
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c1 placed");
    Eventually.that(
        "the first host has the waiting demand",
        () -> first.on(first.dispatcher::waitingCount) == 1);

    // The first host loses its connection to the platform, so that the second dispatches.
    first.connectedToPlatform.set(false);
    Eventually.that(
        "the second host has the waiting demand",
        () -> second.on(second.dispatcher::waitingCount) == 1);
    Eventually.that(
        "the second host has the running work",
        () -> second.on(second.dispatcher::runningCount) == SLOTS);
    Eventually.that(
        "the first host holds no running work",
        () -> first.on(first.dispatcher::runningCount) == 0);

    callers.on(
        () -> {
          callers.placements.finish(numbers.get(0), PlacementResult.ANSWERED);
          return true;
        });
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c2 placed");

    // And back: running work is reported, and nothing is placed a second time.
    first.connectedToPlatform.set(true);
    Eventually.that(
        "the first host has the running work",
        () -> first.on(first.dispatcher::runningCount) == SLOTS);
    assertTrue(decisions.isEmpty(), "unexpected decisions: " + decisions);
  }

  @Test
  public void onlyHostsThatShareCallersDispatcherMayStartDeferrableWork() throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host callers = new Host("callers", true);
    registerAll(List.of(first, second, callers));
    Eventually.that(
        "the first host is the dispatching host",
        () -> first.on(first.placements::usesSharedDispatcher));
    Eventually.that(
        "the second host gets its slots there",
        () -> second.on(second.placements::usesSharedDispatcher));

    // The second host loses the first from its list, while callers still use the first.
    second.on(
        () -> {
          second.placements.setPeers(ImmutableList.of(second.self, callers.self));
          return true;
        });
    Eventually.that(
        "the second host may not start deferrable work",
        () -> !second.on(second.placements::usesSharedDispatcher));
    assertTrue(first.on(first.placements::usesSharedDispatcher));
  }

  @Test
  public void slotsOfHostWhoseHeartbeatsTimeOutAreReleased() throws Exception {
    Host first = new Host("a-jobs", false);
    EventLoopGroup suspendedGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Host callers = new Host("callers", true, suspendedGroup.next());
    registerAll(List.of(first, callers));
    Eventually.that(
        "the first host is the dispatching host",
        () -> first.on(first.placements::usesSharedDispatcher));
    BlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    callers.submit(decisions, "c0");
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c0 placed");

    // The host is suspended while its connection stays open.
    CountDownLatch resumed = new CountDownLatch(1);
    callers.loop.execute(() -> Uninterruptibles.awaitUninterruptibly(resumed));
    try {
      Eventually.that("its slot is released", () -> first.on(first.dispatcher::runningCount) == 0);
    } finally {
      resumed.countDown();
      suspendedGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
