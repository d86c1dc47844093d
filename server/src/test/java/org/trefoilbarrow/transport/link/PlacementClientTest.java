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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.dispatch.DispatchRules;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RefusalReason;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.coordination.dispatch.WorkProfile;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.coordination.watch.CollectionRevisions;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.state.FaultyPlatform;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;

/** Checks the choice and the change of the dispatching host, with hosts linked over loopback. */
public final class PlacementClientTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final int SLOTS = 2;

  private EventLoopGroup group;
  private ExecutorService platformCalls;
  private FaultyPlatform platform;

  @BeforeMethod
  public void createEventLoops() {
    group = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    platformCalls = Executors.newSingleThreadExecutor();
    platform = new FaultyPlatform(1);
  }

  /** One host of the test. */
  private final class Host {
    final EventLoop loop;
    final FleetView fleet = new FleetView();
    final AtomicBoolean connectedToPlatform = new AtomicBoolean(true);
    final PartQuarantine quarantine = new PartQuarantine(QuarantineRules.DEFAULT);
    final LeavingServers leaving = new LeavingServers();
    final Dispatcher dispatcher =
        new Dispatcher(fleet, DispatchRules.DEFAULT, () -> 0.5, quarantine, leaving);
    final PeerAddress self;
    final PlacementClient placements;

    Host(String name, boolean servesCallers) throws IOException {
      this(name, servesCallers, group.next());
    }

    Host(String name, boolean servesCallers, EventLoop loop) throws IOException {
      this.loop = loop;
      self = new PeerAddress(HostId.of(name), "127.0.0.1", freePort(), servesCallers, "d", 1);
      PrintStream sink = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
      placements =
          new PlacementClient(
              loop,
              self,
              fleet,
              dispatcher,
              quarantine,
              leaving,
              new TermStore(platform, platformCalls, loop),
              new CollectionRevisions(),
              () -> !servesCallers,
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
      return submit(decisions, name, ImmutableList.of());
    }

    long submit(
        BlockingQueue<String> decisions, String name, ImmutableList<PromptPartId> promptParts) {
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
              name,
              promptParts,
              WorkProfile.UNKNOWN);
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
        decisions.add(name + " refused" + (reason == RefusalReason.QUARANTINED ? " for good" : ""));
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
    platformCalls.shutdownNow();
  }

  private static void leave(Host host) {
    host.on(
        () -> {
          host.placements.leave();
          return true;
        });
  }

  /** Waits until one of the hosts dispatches for a host that serves callers, and returns it. */
  private static Host awaitDispatchingHost(List<Host> candidates, Host callers) {
    AtomicReference<Host> found = new AtomicReference<>();
    Eventually.that(
        "one of the hosts dispatches",
        () -> {
          Optional<HostId> chosen = callers.on(callers.placements::dispatchingHost);
          candidates.stream()
              .filter(host -> chosen.filter(host.self.host()::equals).isPresent())
              .filter(host -> host.on(host.placements::isDispatching))
              .forEach(found::set);
          return found.get() != null;
        });
    return found.get();
  }

  private static void awaitDispatchedBy(Host dispatching, Host... others) {
    Eventually.that(
        dispatching.self.host() + " dispatches",
        () -> dispatching.on(dispatching.placements::isDispatching));
    for (Host host : others) {
      Eventually.that(
          host.self.host() + " gets its slots there",
          () ->
              host.on(host.placements::dispatchingHost)
                  .filter(dispatching.self.host()::equals)
                  .isPresent());
    }
  }

  private static void reportEnds(Host host, PromptPartId part, int first, int count) {
    host.on(
        () -> {
          for (int server = first; server < first + count; server++) {
            host.placements.reportServerEnd(
                new BackendServer(
                    BackendServerId.of("ended-" + server),
                    "s",
                    "127.0.0.1",
                    1,
                    FailureDomainId.of("d-" + server),
                    SLOTS,
                    true,
                    0),
                ImmutableList.of(part),
                System.nanoTime());
          }
          return true;
        });
  }

  @Test
  public void endsReportedToTheLastDispatchingHostCountAtTheNextOne() throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host third = new Host("c-jobs", false);
    Host callers = new Host("callers", true);
    registerAll(List.of(first, second, third, callers));
    List<Host> candidates = new ArrayList<>(List.of(first, second, third));
    Host dispatching = awaitDispatchingHost(candidates, callers);
    PromptPartId part = PromptPartId.of("harmful");
    int missing = QuarantineRules.DEFAULT.unknownPartEnds() - 1;
    reportEnds(callers, part, 0, missing);
    leave(dispatching);
    candidates.remove(dispatching);
    Host next = awaitDispatchingHost(candidates, callers);
    reportEnds(callers, part, missing, 1);
    Eventually.that(
        "the next dispatching host quarantines the part",
        () -> next.on(() -> next.placements.findQuarantined(List.of(part)).isPresent()));
    BlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    callers.submit(decisions, "c", ImmutableList.of(part));
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c refused for good");
    assertTrue(callers.on(() -> callers.placements.findQuarantined(List.of(part)).isPresent()));
  }

  @Test
  public void waitingDemandsMoveToNextDispatchingHostAndArePlacedOnce() throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host third = new Host("c-jobs", false);
    Host callers = new Host("callers", true);
    registerAll(List.of(first, second, third, callers));
    awaitDispatchedBy(first, second, third, callers);

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

    leave(first);
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
          callers.placements.finish(numbers.get(0), PlacementResult.ANSWERED, RunReport.of(false));
          return true;
        });
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c2 placed");

    // Once more: running work is reported, and nothing is placed a second time.
    leave(second);
    Eventually.that(
        "the third host has the running work",
        () -> third.on(third.dispatcher::runningCount) == SLOTS);
    assertTrue(decisions.isEmpty(), "unexpected decisions: " + decisions);
  }

  /** The dispatching host used to change when it lost the platform, and back when it returned. */
  @Test
  public void dispatchingHostThatLosesThePlatformStays() throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host callers = new Host("callers", true);
    registerAll(List.of(first, second, callers));
    awaitDispatchedBy(first, second, callers);
    first.connectedToPlatform.set(false);
    Eventually.that(
        "the second host knows of the loss",
        () -> second.on(() -> second.placements.livePeers(true).isEmpty()));

    BlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    callers.submit(decisions, "c0");
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c0 placed");
    Eventually.that(
        "the call runs by the first host", () -> first.on(first.dispatcher::runningCount) == 1);
    assertEquals((int) second.on(second.dispatcher::runningCount), 0);
  }

  @Test
  public void callIsNotPlacedAtServerThatItsHostKnowsIsLeaving() throws Exception {
    Host first = new Host("a-jobs", false);
    Host callers = new Host("callers", true);
    registerAll(List.of(first, callers));
    awaitDispatchedBy(first, callers);
    callers.on(
        () -> {
          callers.fleet.setDrainedDomains(ImmutableSet.of(FailureDomainId.of("d")));
          return true;
        });
    BlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    callers.submit(decisions, "c0");
    Eventually.that(
        "the call waits for another server", () -> first.on(first.dispatcher::waitingCount) == 1);
    assertTrue(decisions.isEmpty(), "unexpected decisions: " + decisions);
  }

  private BackendServer server(Host host) {
    return host.on(() -> host.fleet.backend(BackendServerId.of("b")).orElseThrow());
  }

  private static boolean isKnownLeaving(Host host) {
    return host.leaving.count() == 1 && host.dispatcher.runningCount() == 0;
  }

  private void stateLeaving(Host host) {
    BackendServer server = server(host);
    host.on(
        () -> {
          host.placements.reportLeaving(server, 503);
          return true;
        });
  }

  private static DemandSpec demand(boolean batch, boolean repeated) {
    return new DemandSpec(
        "s",
        Optional.empty(),
        0,
        batch,
        System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS),
        System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS),
        repeated,
        ImmutableSet.of(),
        "c",
        ImmutableList.of(),
        WorkProfile.UNKNOWN);
  }

  /** Each row: whether the work is a batch item, whether it is sent again, and who dispatches. */
  @DataProvider
  public Object[][] grants() {
    return new Object[][] {
      {false, false, true}, {false, true, true}, {true, true, true},
      {false, false, false}, {false, true, false}, {true, true, false}
    };
  }

  /** A placement that was granted before the statement was sent to the server after it. */
  @Test(dataProvider = "grants")
  public void grantedPlacementIsNotSentAfterTheStatement(
      boolean batch, boolean repeated, boolean remote) throws Exception {
    Host callers = new Host("callers", true);
    Host first = new Host("a-jobs", false);
    if (remote) {
      registerAll(List.of(first, callers));
      awaitDispatchedBy(first, callers);
    }
    BlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    // Such work is granted a slot before the statement.
    long granted =
        callers.on(
            () ->
                callers.placements.submit(demand(batch, repeated), listener(decisions, "before")));
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "before placed");
    BackendServer server = server(callers);
    callers.on(
        () -> {
          callers.placements.finish(granted, PlacementResult.ANSWERED, RunReport.of(true));
          // The grant, or the message with it, is handled after this task.
          callers.placements.submit(demand(batch, repeated), listener(decisions, "c"));
          callers.placements.reportLeaving(server, 503);
          return true;
        });
    if (batch) {
      Host holder = remote ? first : callers;
      Eventually.that(
          "the item waits for another server",
          () -> holder.on(() -> holder.dispatcher.waitingCount() == 1 && isKnownLeaving(holder)));
      assertTrue(decisions.isEmpty(), "unexpected decisions: " + decisions);
    } else {
      assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c refused");
    }
  }

  /** Each host sent requests to a leaving server until it had seen its statement itself. */
  @Test
  public void statementIsReportedToTheDispatchingHostAndToTheNextOne() throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host callers = new Host("callers", true);
    Host others = new Host("others", true);
    registerAll(List.of(first, second, callers, others));
    List<Host> candidates = new ArrayList<>(List.of(first, second));
    Host dispatching = awaitDispatchingHost(candidates, callers);
    awaitDispatchedBy(dispatching, others);
    stateLeaving(callers);
    Eventually.that(
        "the dispatching host knows", () -> dispatching.on(dispatching.leaving::count) == 1);
    BlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    others.submit(decisions, "c0");
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c0 refused");
    leave(dispatching);
    candidates.remove(dispatching);
    Host next = awaitDispatchingHost(candidates, callers);
    awaitDispatchedBy(next, others);
    Eventually.that("the next one knows", () -> next.on(next.leaving::count) == 1);
    others.submit(decisions, "c1");
    assertEquals(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "c1 refused");
  }

  @Test
  public void onlyHostsThatShareCallersDispatcherMayStartDeferrableWork() throws Exception {
    Host first = new Host("a-jobs", false);
    Host second = new Host("b-jobs", false);
    Host callers = new Host("callers", true);
    registerAll(List.of(first, second, callers));
    awaitDispatchedBy(first, second, callers);
    Eventually.that(
        "the first host may start deferrable work",
        () -> first.on(first.placements::usesSharedDispatcher));
    Eventually.that(
        "so may the second host", () -> second.on(second.placements::usesSharedDispatcher));

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
    awaitDispatchedBy(first, callers);
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
