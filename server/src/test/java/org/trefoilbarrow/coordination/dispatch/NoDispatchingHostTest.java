package org.trefoilbarrow.coordination.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.dispatch.LoadReplay.Events;
import org.trefoilbarrow.coordination.dispatch.LoadReplay.Load;
import org.trefoilbarrow.coordination.dispatch.LoadReplay.Request;
import org.trefoilbarrow.coordination.dispatch.LoadReplay.Window;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;

/** Guards against refusals while servers are idle, at hosts that reach no dispatching host. */
public final class NoDispatchingHostTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int SERVERS = 6;
  private static final int SLOTS = 8;
  private static final int SEEDS = 3;

  private Dispatcher dispatcher;
  private long nextCall;

  @BeforeMethod
  public void createDispatcher() {
    FleetView fleet = new FleetView();
    for (int server = 0; server < SERVERS; server++) {
      fleet.put(
          new BackendServer(
              BackendServerId.of("b" + server),
              "models",
              "10.0.0.1",
              80,
              FailureDomainId.of("d"),
              SLOTS,
              true,
              0));
    }
    dispatcher =
        new Dispatcher(
            fleet,
            DispatchRules.DEFAULT,
            new Random(20261206)::nextDouble,
            new PartQuarantine(QuarantineRules.DEFAULT),
            new LeavingServers());
    dispatcher.setScope(PlacementScope.OWN_HOST);
  }

  private Demand demand(boolean batch, Set<BackendServerId> excluded) {
    return new Demand(
        new DemandId(HostId.of("h"), nextCall++),
        "models",
        Optional.empty(),
        0,
        batch,
        SECOND / 4,
        5 * SECOND,
        false,
        excluded);
  }

  private ImmutableList<Decision> submit(boolean batch) {
    return dispatcher.submit(demand(batch, ImmutableSet.of()), 0);
  }

  @Test
  public void hostUsesAllServersAndNeverMoreThanTheSlotsOfEach() {
    Map<BackendServerId, Integer> placed = new HashMap<>();
    for (int call = 0; call < SERVERS * SLOTS; call++) {
      Decision.Placed decision = (Decision.Placed) submit(false).get(0);
      placed.merge(decision.backend(), 1, Integer::sum);
    }
    assertEquals(placed.size(), SERVERS);
    placed.forEach((server, count) -> assertEquals((int) count, SLOTS, "placed at " + server));
    assertTrue(
        submit(false).stream().noneMatch(Decision.Placed.class::isInstance),
        "no server gets more of the host's requests than its slots");
  }

  /** With one random choice the busiest of six servers would get 7 of 24, or more. */
  @Test
  public void requestsAreSpreadByTheHostsOwnLoad() {
    Map<BackendServerId, Integer> placed = new HashMap<>();
    for (int call = 0; call < 4 * SERVERS; call++) {
      placed.merge(((Decision.Placed) submit(false).get(0)).backend(), 1, Integer::sum);
    }
    assertTrue(placed.values().stream().allMatch(count -> count <= 6), placed.toString());
  }

  @Test
  public void batchItemsDoNotStartUntilThereIsADispatchingHost() {
    assertEquals(submit(true), ImmutableList.of());
    assertEquals(dispatcher.tick(SECOND), ImmutableList.of());
    dispatcher.setScope(PlacementScope.ALL_HOSTS);
    assertEquals(dispatcher.tick(SECOND).size(), 1);
  }

  @Test
  public void serverThatRejectedGetsNothingWhileOthersAccept() {
    Demand demand = demand(false, ImmutableSet.of());
    BackendServerId full = ((Decision.Placed) dispatcher.submit(demand, 0).get(0)).backend();
    dispatcher.finished(demand.id(), PlacementResult.NOT_RUN, RunReport.NONE, 0);
    for (int call = 0; call < (SERVERS - 1) * SLOTS; call++) {
      Decision.Placed placed =
          (Decision.Placed) dispatcher.submit(demand(false, ImmutableSet.of(full)), 0).get(0);
      assertTrue(!placed.backend().equals(full), "placed at the server that rejected it");
    }
    assertEquals(((Decision.Placed) submit(false).get(0)).backend(), full);
  }

  @DataProvider
  public Object[][] losses() {
    return new Object[][] {
      {Load.FIRST, new Window(18_000, 21_000), 1.0, 0.99},
      {Load.SECOND, new Window(18_000, 21_000), 1.0, 0.99},
      {Load.FIRST, new Window(15_000, 18_000), 0.98, 0.85},
      {Load.SECOND, new Window(15_000, 18_000), 0.98, 0.9},
      {Load.FIRST, new Window(16_500, 24_500), 0.98, 0.85},
      {Load.SECOND, new Window(16_500, 24_500), 0.98, 0.9},
    };
  }

  /**
   * No host reaches a dispatching host for some seconds of a trough, of a peak, or of both. The
   * same load with a dispatching host is the baseline. In a trough nobody is refused.
   */
  @Test(dataProvider = "losses")
  public void requestsAreServedWithoutADispatchingHost(
      Load load, Window lost, double leastServed, double leastOnTime) {
    for (int seed = 0; seed < SEEDS; seed++) {
      ImmutableList<Request> with = run(load, Events.NONE, seed, lost);
      ImmutableList<Request> without = run(load, Events.loss(lost), seed, lost);
      assertPart(without, with, request -> request.served, leastServed, "served, seed " + seed);
      assertPart(without, with, request -> request.onTime, leastOnTime, "on time, seed " + seed);
      if (!LoadReplay.isPeak(lost.from())) {
        assertEquals(without.stream().filter(request -> request.refusals > 0).count(), 0);
      }
    }
  }

  private static void assertPart(
      ImmutableList<Request> without,
      ImmutableList<Request> with,
      Predicate<Request> counts,
      double least,
      String what) {
    double part = part(without, counts);
    double baseline = part(with, counts);
    assertTrue(
        part >= least * baseline,
        String.format("%s: %.4f without, %.4f with a dispatching host", what, part, baseline));
  }

  private static ImmutableList<Request> run(Load load, Events plan, long seed, Window during) {
    return new LoadReplay(load, plan, true, seed)
        .run(27).stream()
            .filter(request -> during.contains(request.atMillis))
            .collect(ImmutableList.toImmutableList());
  }

  private static double part(ImmutableList<Request> requests, Predicate<Request> counts) {
    return requests.stream().filter(counts).count() / (double) requests.size();
  }
}
