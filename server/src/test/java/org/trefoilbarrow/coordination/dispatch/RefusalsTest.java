package org.trefoilbarrow.coordination.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.WorkSize;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;

public final class RefusalsTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final BackendServerId SERVER = BackendServerId.of("b");
  private static final int SLOTS = 8;

  private Dispatcher dispatcher;
  private long nextCall;

  @BeforeMethod
  public void createDispatcher() {
    FleetView fleet = new FleetView();
    fleet.put(
        new BackendServer(SERVER, "s", "10.0.0.1", 80, FailureDomainId.of("d"), SLOTS, true, 0));
    dispatcher =
        new Dispatcher(
            fleet,
            DispatchRules.DEFAULT,
            new Random(20261206)::nextDouble,
            new PartQuarantine(QuarantineRules.DEFAULT),
            new LeavingServers());
  }

  private Demand demand(String organisation, String route, long objectiveMillis, boolean batch) {
    return new Demand(
        new DemandId(HostId.of("h"), nextCall++),
        "s",
        Optional.empty(),
        0,
        batch,
        objectiveMillis * MILLI,
        5 * SECOND,
        false,
        ImmutableSet.of(),
        ImmutableList.of(),
        new WorkProfile(route, Optional.empty(), WorkSize.UNKNOWN, 0, ImmutableList.of())
            .withCaller(Optional.of(OrganisationId.of(organisation))));
  }

  private List<Decision.Refused> submit(String organisation, int count, long objectiveMillis) {
    List<Decision.Refused> refused = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      Demand demand = demand(organisation, "r", objectiveMillis, false);
      for (Decision decision : dispatcher.submit(demand, 0)) {
        if (decision instanceof Decision.Refused refusal) {
          refused.add(refusal);
        }
      }
    }
    return refused;
  }

  /** The queue of one organisation made the requests of all others be refused. */
  @Test
  public void refusedByTheWaitOfItsOwnQueueOnly() {
    List<Decision.Refused> refused = submit("hot", 60, 300);
    assertFalse(refused.isEmpty(), "the queue of the hot organisation is too long");
    QueueState queue = refused.get(0).queue().orElseThrow();
    assertEquals(queue.organisation(), "hot");
    assertTrue(queue.waitNanos() > 300 * MILLI, "its wait is " + queue.waitNanos());
    assertEquals(submit("other", 1, 300), List.of());
  }

  @Test
  public void nobodyIsRefusedWhileASlotIsFreeOrCanBeFreed() {
    for (int item = 0; item < SLOTS; item++) {
      dispatcher.registerRunning(demand("jobs", "r", 60_000, true), SERVER, 0);
    }
    assertEquals(submit("hot", SLOTS, 0), List.of());
  }

  /** A demand that arrives after its objective was refused though the server was idle. */
  @Test
  public void demandPastItsObjectiveGetsAFreeSlot() {
    Demand late = demand("o", "r", -1, false);
    List<Decision> decisions = dispatcher.submit(late, 0);
    assertEquals(decisions, List.of(new Decision.Placed(late.id(), SERVER)));
  }

  /** Refused callers that all return at one moment are refused again. */
  @Test
  public void refusedCallersAreSpreadOverTheCapacityAfterTheQueue() {
    List<Decision.Refused> refused = submit("hot", 30, 300);
    List<Long> delays = refused.stream().map(Decision.Refused::retryAfterMillis).toList();
    assertEquals(delays.stream().distinct().count(), delays.size(), "delays are " + delays);
    assertTrue(delays.get(0) >= 300, "the first returns after the queue: " + delays);
    assertTrue(delays.stream().allMatch(delay -> delay <= 5000 / 3), "honoured: " + delays);
  }

  /** A route is served as often as others of its organisations, whatever its objective is. */
  @Test
  public void routeServedTooLittleGoesFirst() {
    ServedShares shares = new ServedShares();
    for (int index = 0; index < 200; index++) {
      shares.record(demand("o", "quick", 300, false), true);
      shares.record(demand("o", "slow", 300, false), index % 2 == 0);
    }
    assertTrue(shares.isBelowFloor(demand("o", "slow", 300, false)));
    assertFalse(shares.isBelowFloor(demand("o", "quick", 300, false)));
  }

  @Test
  public void organisationOverItsShareLowersNoRoute() {
    ServedShares shares = new ServedShares();
    for (int index = 0; index < 200; index++) {
      shares.record(demand("hot", "of hot", 300, false), index % 4 == 0);
      shares.record(demand("o", "quick", 300, false), true);
    }
    assertFalse(shares.isBelowFloor(demand("hot", "of hot", 300, false)));
  }
}
