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

/** Hosts that dispatch and a host with callers, over loopback. */
public final class PlacementClientTest {
  private static final long PATIENCE_SECONDS = 20;
  private static final int SLOTS = 2;

  private EventLoopGroup group;

  @BeforeMethod
  public void begin() {
    group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
  }

  /** One host of the test. */
  private final class Host {
    final EventLoop loop;
    final FleetView fleet = new FleetView();
    final AtomicBoolean fit = new AtomicBoolean(true);
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
              fit::get,
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

    long ask(BlockingQueue<String> heard, String name) {
      DemandSpec demand =
          new DemandSpec(
              "s",
              Optional.empty(),
              0,
              false,
              System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS),
              System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS),
              true,
              ImmutableSet.of(),
              name);
      return on(() -> placements.submit(demand, listener(heard, name)));
    }
  }

  private static PlacementListener listener(BlockingQueue<String> heard, String name) {
    return new PlacementListener() {
      @Override
      public void placed(BackendServer backend) {
        heard.add(name + " placed");
      }

      @Override
      public void refused(RefusalReason reason, long retryAfterMillis) {
        heard.add(name + " refused");
      }

      @Override
      public void revoked() {
        heard.add(name + " revoked");
      }
    };
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static void know(List<Host> hosts) {
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
  public void end() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  public void workThatWaitsMovesToTheNextHostAndIsPlacedOnce() throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host callers = new Host("callers", true);
    know(List.of(first, second, callers));
    Eventually.that(
        "both hosts answer",
        () -> callers.on(() -> callers.placements.livePeers(true).size() == 2));

    BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    List<Long> numbers = new ArrayList<>();
    for (int call = 0; call < SLOTS + 1; call++) {
      numbers.add(callers.ask(heard, "c" + call));
    }
    assertEquals(heard.poll(PATIENCE_SECONDS, TimeUnit.SECONDS), "c0 placed");
    assertEquals(heard.poll(PATIENCE_SECONDS, TimeUnit.SECONDS), "c1 placed");
    assertEquals((int) first.on(first.dispatcher::waitingCount), 1);

    // The first host loses the platform, so that the second dispatches.
    first.fit.set(false);
    Eventually.that(
        "the second host knows what waits", () -> second.on(second.dispatcher::waitingCount) == 1);
    Eventually.that(
        "the second host knows what runs",
        () -> second.on(second.dispatcher::runningCount) == SLOTS);
    Eventually.that(
        "the first host counts nothing", () -> first.on(first.dispatcher::runningCount) == 0);

    callers.on(
        () -> {
          callers.placements.finish(numbers.get(0), PlacementResult.ANSWERED);
          return true;
        });
    assertEquals(heard.poll(PATIENCE_SECONDS, TimeUnit.SECONDS), "c2 placed");

    // And back: what runs is reported, and nothing is placed a second time.
    first.fit.set(true);
    Eventually.that(
        "the first host knows what runs", () -> first.on(first.dispatcher::runningCount) == SLOTS);
    assertTrue(heard.isEmpty(), "heard " + heard);
  }

  @Test
  public void onlyHostsWhosePlacesAreCountedWithThoseOfCallersBeginWorkThatCanWait()
      throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host callers = new Host("callers", true);
    know(List.of(first, second, callers));
    Eventually.that(
        "the first host is chosen", () -> first.on(first.placements::usesSharedDispatcher));
    Eventually.that(
        "the second host takes its places there",
        () -> second.on(second.placements::usesSharedDispatcher));

    // The second host loses sight of the first, which callers still use.
    second.on(
        () -> {
          second.placements.setPeers(ImmutableList.of(second.self, callers.self));
          return true;
        });
    Eventually.that(
        "the second host begins nothing",
        () -> !second.on(second.placements::usesSharedDispatcher));
    assertTrue(first.on(first.placements::usesSharedDispatcher));
  }

  @Test
  public void placesOfAHostThatFellSilentAreFree() throws Exception {
    Host first = new Host("a-jobs", false);
    EventLoopGroup frozen = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    Host callers = new Host("callers", true, frozen.next());
    know(List.of(first, callers));
    Eventually.that(
        "the first host is chosen", () -> first.on(first.placements::usesSharedDispatcher));
    BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    callers.ask(heard, "c0");
    assertEquals(heard.poll(PATIENCE_SECONDS, TimeUnit.SECONDS), "c0 placed");

    // The host stands still with its connection open.
    CountDownLatch wake = new CountDownLatch(1);
    callers.loop.execute(() -> Uninterruptibles.awaitUninterruptibly(wake));
    try {
      Eventually.that("its place is free", () -> first.on(first.dispatcher::runningCount) == 0);
    } finally {
      wake.countDown();
      frozen.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
