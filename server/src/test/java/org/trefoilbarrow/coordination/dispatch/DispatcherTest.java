package org.trefoilbarrow.coordination.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.leaving.LeavingServers;
import org.trefoilbarrow.coordination.leaving.LeavingStatement;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.coordination.quarantine.ServerEnd;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.CallerLimits;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.state.fleet.Organisation;
import org.trefoilbarrow.state.fleet.Service;

public final class DispatcherTest {
  private static final String SERVICE = "models";
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final OrganisationId ORGANISATION = OrganisationId.of("acme");

  private FleetView fleet;
  private PartQuarantine quarantine;
  private LeavingServers leaving;
  private Dispatcher dispatcher;
  private long nextCall;

  @BeforeMethod
  public void createDispatcher() {
    fleet = new FleetView();
    nextCall = 0;
    quarantine = new PartQuarantine(QuarantineRules.DEFAULT);
    leaving = new LeavingServers();
    dispatcher =
        new Dispatcher(
            fleet, DispatchRules.DEFAULT, new Random(7)::nextDouble, quarantine, leaving);
    apply(0, 10);
  }

  private void apply(double rate, double coldRate) {
    Catalog catalog =
        new Catalog(
            1,
            ImmutableList.of(),
            ImmutableMap.of(SERVICE, new Service(SERVICE, 100, 3000, coldRate)),
            ImmutableMap.of(ORGANISATION, new Organisation(ORGANISATION, 1, rate, rate)),
            ImmutableMap.of(),
            CallerLimits.INITIAL);
    fleet.apply(catalog, ++nextCall);
  }

  private void backend(String id, int slots, boolean ready, long coldUntil) {
    fleet.put(
        new BackendServer(
            BackendServerId.of(id),
            SERVICE,
            "10.0.0.1",
            80,
            FailureDomainId.of("d-" + id),
            slots,
            ready,
            coldUntil));
  }

  private Demand online(long now, long objectiveMillis, boolean repeated, String... excluded) {
    Set<BackendServerId> ids =
        ImmutableList.copyOf(excluded).stream()
            .map(BackendServerId::of)
            .collect(ImmutableSet.toImmutableSet());
    return new Demand(
        new DemandId(HostId.of("h"), nextCall++),
        SERVICE,
        Optional.of(ORGANISATION),
        0,
        false,
        now + objectiveMillis * MILLI,
        now + 5 * SECOND,
        repeated,
        ids);
  }

  private Demand item(long now, long dueMillis) {
    return new Demand(
        new DemandId(HostId.of("jobs"), nextCall++),
        SERVICE,
        Optional.empty(),
        2,
        true,
        now + dueMillis * MILLI,
        now + 60 * SECOND,
        true,
        ImmutableSet.of());
  }

  private static <T extends Decision> long count(List<Decision> decisions, Class<T> type) {
    return decisions.stream().filter(type::isInstance).count();
  }

  @Test
  public void submit_placesWorkThoughTheSumOfSlotsIsBeyondTheIntegerRange() {
    backend("a", Integer.MAX_VALUE, true, 0);
    backend("b", Integer.MAX_VALUE, true, 0);
    List<Decision> decisions = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      decisions.addAll(dispatcher.submit(online(0, 100, false), 0));
    }
    assertEquals(count(decisions, Decision.Placed.class), 4);
  }

  @Test
  public void submit_spreadsWorkOverTheLeastLoadedServers() {
    backend("a", 4, true, 0);
    backend("b", 4, true, 0);
    List<Decision> decisions = new ArrayList<>();
    for (int call = 0; call < 8; call++) {
      decisions.addAll(dispatcher.submit(online(0, 300, false), 0));
    }
    long atServerA =
        decisions.stream()
            .filter(
                decision -> ((Decision.Placed) decision).backend().equals(BackendServerId.of("a")))
            .count();
    assertEquals(atServerA, 4);
  }

  private static Demand withPart(Demand demand, PromptPartId part) {
    return new Demand(
        demand.id(),
        demand.service(),
        demand.organisation(),
        demand.priority(),
        demand.batch(),
        demand.objectiveNanos(),
        demand.deadlineNanos(),
        demand.repeated(),
        demand.excluded(),
        ImmutableList.of(PromptPartId.of("first"), part),
        demand.profile());
  }

  @Test
  public void quarantinedDemandIsRefusedWithoutAChargeWhetherNewOrWaiting() {
    apply(1, 10);
    final long now = SECOND;
    // One of the two slots is kept for online requests.
    backend("a", 2, true, 0);
    PromptPartId harmful = PromptPartId.of("harmful");
    // Uses what the rate allows so far; a second later it allows one request more.
    dispatcher.submit(online(0, 300, true), 0);
    dispatcher.submit(withPart(item(now, 5000), harmful), now);
    Demand waiting = withPart(item(now, 5000), harmful);
    assertEquals(dispatcher.submit(waiting, now), List.of());
    quarantine.adopt(harmful, SECOND, now + SECOND, now);
    List<Decision> decisions = dispatcher.refuseQuarantined(now);
    assertEquals(count(decisions, Decision.Quarantined.class), 1);
    assertEquals(decisions.get(0).demand(), waiting.id());
    assertEquals(dispatcher.waitingCount(), 0);
    for (int call = 0; call < 5; call++) {
      List<Decision> refused = dispatcher.submit(withPart(online(now, 300, false), harmful), now);
      assertEquals(count(refused, Decision.Quarantined.class), 1);
    }
    List<Decision> allowed = dispatcher.submit(online(now, 300, true), now);
    assertEquals(count(allowed, Decision.Refused.class), 0);
    List<Decision> later =
        dispatcher.submit(withPart(item(now + SECOND, 5000), harmful), now + SECOND);
    assertEquals(count(later, Decision.Quarantined.class), 0);
  }

  @Test
  public void responseThatBeganShowsThatItsPartsAreSound() {
    backend("a", 1, true, 0);
    for (int server = 0; server < 4; server++) {
      quarantine.reported(
          new ServerEnd(
              HostId.of("h"),
              BackendServerId.of("ended-" + server),
              FailureDomainId.of("d-" + server),
              ImmutableList.of(PromptPartId.of("part")),
              ImmutableMap.of(),
              server * SECOND),
          server * SECOND);
    }
    long now = 10 * SECOND;
    Demand demand = withPart(online(now, 300, false), PromptPartId.of("part"));
    dispatcher.submit(demand, now);
    dispatcher.finished(demand.id(), PlacementResult.ANSWERED, RunReport.of(true), now);
    quarantine.decide(now);
    assertEquals(quarantine.count(now), 0);
  }

  @Test
  public void submit_revokesItemsThatAreDueLastForOnlineWork() {
    backend("a", 2, true, 0);
    Demand first = item(0, 60_000);
    assertEquals(count(dispatcher.submit(first, 0), Decision.Placed.class), 1);
    dispatcher.registerRunning(item(0, 90_000), BackendServerId.of("a"), 0);
    ImmutableList<Decision> decisions = dispatcher.submit(online(0, 300, false), 0);
    assertEquals(count(decisions, Decision.Revoked.class), 1);
    Decision revoked = decisions.get(0);
    assertFalse(revoked.demand().equals(first.id()), "the item that is due last is revoked");
    assertEquals(
        count(
            dispatcher.finished(
                revoked.demand(), PlacementResult.CANCELLED, RunReport.of(false), MILLI),
            Decision.Placed.class),
        1);
  }

  @Test
  public void submit_reservesAQuarterOfTheSlotsForUrgentItems() {
    backend("a", 8, true, 0);
    for (int index = 0; index < 8; index++) {
      dispatcher.registerRunning(item(0, 1500), BackendServerId.of("a"), 0);
    }
    List<Decision> decisions = new ArrayList<>();
    for (int call = 0; call < 8; call++) {
      decisions.addAll(dispatcher.submit(online(0, 300, false), 0));
    }
    assertEquals(count(decisions, Decision.Revoked.class), 6);
  }

  @Test
  public void submit_refusesAtOnceWhenTheWaitWouldExceedTheObjective() {
    backend("a", 1, true, 0);
    dispatcher.submit(online(0, 300, false), 0);
    assertTrue(dispatcher.submit(online(0, 600, false), 0).isEmpty(), "one may wait");
    ImmutableList<Decision> decisions = dispatcher.submit(online(0, 300, false), 0);
    Decision.Refused refused = (Decision.Refused) decisions.get(0);
    assertEquals(refused.reason(), RefusalReason.TOO_LONG_A_WAIT);
    assertTrue(refused.retryAfterMillis() >= 200, "the retry delay is at least 200 ms");
  }

  @Test
  public void submit_refusesNothingWhileSlotsAreFree() {
    backend("a", 2, true, 0);
    dispatcher.submit(online(0, 300, false), 0);
    ImmutableList<Decision> decisions = dispatcher.submit(online(0, 1, false), 0);
    assertEquals(count(decisions, Decision.Placed.class), 1);
  }

  @Test
  public void tick_refusesDemandsPastTheirObjectiveAndRepeatedOnesLater() {
    backend("a", 1, true, 0);
    dispatcher.submit(online(0, 300, false), 0);
    Demand first = online(0, 600, false);
    Demand repeated = online(0, 600, true);
    dispatcher.submit(first, 0);
    dispatcher.submit(repeated, 0);
    ImmutableList<Decision> late = dispatcher.tick(601 * MILLI);
    assertEquals(late.size(), 1);
    assertEquals(late.get(0).demand(), first.id());
    assertEquals(((Decision.Refused) late.get(0)).reason(), RefusalReason.WAITED_TOO_LONG);
    ImmutableList<Decision> later = dispatcher.tick(4 * SECOND);
    assertEquals(later.size(), 1);
    assertEquals(later.get(0).demand(), repeated.id());
  }

  @Test
  public void submit_limitsAnOrganisationToItsFractionOfTheRate() {
    apply(10, 10);
    backend("a", 1000, true, 0);
    dispatcher.setFraction(0.5);
    long placed = 0;
    for (int call = 0; call < 1000; call++) {
      placed +=
          count(
              dispatcher.submit(online(call * 10 * MILLI, 300, false), call * 10 * MILLI),
              Decision.Placed.class);
    }
    // Ten seconds at half of the rate of 10/s, plus at most half of the burst of 10.
    assertTrue(placed <= 55, "placed " + placed);
    assertTrue(placed >= 50, "placed " + placed);
  }

  @Test
  public void submit_limitsAColdServerToItsToleratedRate() {
    backend("a", 1000, true, 60 * SECOND);
    int most = 0;
    List<Long> times = new ArrayList<>();
    for (int call = 0; call < 400; call++) {
      long now = call * 10 * MILLI;
      for (Decision decision : dispatcher.submit(online(now, 100, true), now)) {
        if (decision instanceof Decision.Placed) {
          times.add(now);
        }
      }
      times.removeIf(time -> now - time >= SECOND);
      most = Math.max(most, times.size());
    }
    assertTrue(most <= 10, "in one second " + most);
    assertTrue(most > 0);
  }

  @DataProvider
  public Object[][] unusable() {
    return new Object[][] {{false, "other"}, {true, "d-a"}};
  }

  @Test(dataProvider = "unusable")
  public void submit_placesNothingAtALeavingServerOrInADrainedDomain(
      boolean ready, String drained) {
    backend("a", 4, ready, 0);
    fleet.setDrainedDomains(ImmutableSet.of(FailureDomainId.of(drained)));
    ImmutableList<Decision> decisions = dispatcher.submit(online(0, 300, false), 0);
    assertEquals(((Decision.Refused) decisions.get(0)).reason(), RefusalReason.NO_BACKEND);
  }

  @Test
  public void submit_placesNothingAtAReplacedServer() {
    backend("a", 4, true, 0);
    Demand demand = online(0, 300, false);
    dispatcher.submit(demand, 0);
    dispatcher.finished(demand.id(), PlacementResult.REPLACED, RunReport.of(false), 0);
    assertEquals(count(dispatcher.submit(online(0, 300, false), 0), Decision.Refused.class), 1);
  }

  /** An item that the only server of its service had failed waited for another one for ever. */
  @Test
  public void submit_placesItemAtTheServerThatFailedItIfThereIsNoOther() {
    backend("a", 4, true, 0);
    Demand retry =
        new Demand(
            new DemandId(HostId.of("jobs"), nextCall++),
            SERVICE,
            Optional.empty(),
            2,
            true,
            60 * SECOND,
            60 * SECOND,
            true,
            ImmutableSet.of(BackendServerId.of("a")));
    assertEquals(count(dispatcher.submit(retry, 0), Decision.Placed.class), 1);
    dispatcher.finished(retry.id(), PlacementResult.FAILED, RunReport.of(false), 0);
    backend("b", 4, true, 0);
    Decision.Placed placed = (Decision.Placed) dispatcher.submit(retry, 0).get(0);
    assertEquals(placed.backend(), BackendServerId.of("b"));
  }

  /** A server was left out for good after rejections that its entry at the platform contradicts. */
  @Test
  public void submit_placesWorkAgainAtAServerThatWasReportedAsReplaced() {
    backend("a", 4, true, 0);
    long[] pauses = {1, 2, 4, 8, 8};
    long now = 0;
    for (long pause : pauses) {
      Demand first = online(now, 300, false);
      Demand second = online(now, 300, false);
      dispatcher.submit(first, now);
      dispatcher.submit(second, now);
      dispatcher.finished(first.id(), PlacementResult.REPLACED, RunReport.of(false), now);
      dispatcher.finished(second.id(), PlacementResult.REPLACED, RunReport.of(false), now);
      long beforeEnd = now + pause * SECOND - MILLI;
      assertEquals(
          count(
              dispatcher.submit(online(beforeEnd, 300, false), beforeEnd), Decision.Refused.class),
          1);
      now += pause * SECOND;
    }
    Demand answered = online(now, 300, false);
    assertEquals(count(dispatcher.submit(answered, now), Decision.Placed.class), 1);
    dispatcher.finished(answered.id(), PlacementResult.ANSWERED, RunReport.of(true), now);
    Demand rejected = online(now, 300, false);
    dispatcher.submit(rejected, now);
    dispatcher.finished(rejected.id(), PlacementResult.REPLACED, RunReport.of(false), now);
    now += SECOND;
    assertEquals(count(dispatcher.submit(online(now, 300, false), now), Decision.Placed.class), 1);
  }

  /** Requests of one caller that no server could meet kept the work of all others away. */
  @Test
  public void submit_placesWorkAtAServerThatDidNotMeetTheConditionOfAnotherRequest() {
    backend("a", 4, true, 0);
    Demand conditional = online(0, 300, false);
    dispatcher.submit(conditional, 0);
    dispatcher.finished(conditional.id(), PlacementResult.CONDITION_FAILED, RunReport.of(false), 0);
    assertEquals(count(dispatcher.submit(online(0, 300, false), 0), Decision.Placed.class), 1);
  }

  /** A dispatching host that the platform refuses learns only from others that a server leaves. */
  @Test
  public void submit_avoidsServerForAWhileAfterAHostReportedThatItLeaves() {
    backend("a", 4, true, 0);
    Demand declined = online(0, 300, false);
    dispatcher.submit(declined, 0);
    dispatcher.finished(declined.id(), PlacementResult.LEAVING, RunReport.of(false), 0);
    assertEquals(count(dispatcher.submit(item(0, 60_000), 0), Decision.Placed.class), 0);
    backend("b", 4, true, 0);
    Decision.Placed placed =
        (Decision.Placed) dispatcher.submit(online(0, 300, false), 100 * MILLI).get(0);
    assertEquals(placed.backend(), BackendServerId.of("b"));
    // The report may have been wrong; the next host that is sent there reports again.
    assertEquals(count(dispatcher.submit(item(0, 60_000), 2 * SECOND), Decision.Placed.class), 1);
  }

  private void stateLeaving(String id, long now) {
    leaving.add(new LeavingStatement(BackendServerId.of(id), 0, HostId.of("h"), now));
  }

  /** Demands stayed in the queue of a service whose servers all left, and were refused late. */
  @Test
  public void tick_refusesWhatWaitsAtOnceWhenAllServersStateThatTheyAreLeaving() {
    backend("a", 1, true, 0);
    backend("b", 1, true, 0);
    Demand running = online(0, 300, false);
    dispatcher.submit(running, 0);
    dispatcher.submit(online(0, 300, false), 0);
    dispatcher.submit(online(0, 3000, true), 0);
    Demand item = item(0, 60_000);
    dispatcher.submit(item, 0);
    stateLeaving("a", 0);
    assertEquals(count(dispatcher.tick(MILLI), Decision.Refused.class), 0);
    stateLeaving("b", 0);
    ImmutableList<Decision> decisions = dispatcher.tick(2 * MILLI);
    assertEquals(decisions.size(), 1);
    Decision.Refused refused = (Decision.Refused) decisions.get(0);
    assertEquals(refused.reason(), RefusalReason.NO_BACKEND);
    assertTrue(refused.retryAfterMillis() > 0);
    assertEquals(dispatcher.waitingCount(), 1);
    // What runs there ends normally, and its slot goes to no other work.
    assertEquals(dispatcher.runningCount(), 2);
    assertEquals(
        dispatcher
            .finished(running.id(), PlacementResult.ANSWERED, RunReport.of(true), 3 * MILLI)
            .size(),
        0);
    backend("c", 4, true, 0);
    Decision.Placed placed = (Decision.Placed) dispatcher.tick(4 * MILLI).get(0);
    assertEquals(placed, new Decision.Placed(item.id(), BackendServerId.of("c")));
  }

  @Test
  public void submit_placesNothingAtAServerThatStatedThatItIsLeaving() {
    backend("a", 4, true, 0);
    stateLeaving("a", 0);
    assertEquals(count(dispatcher.submit(online(0, 300, false), 0), Decision.Refused.class), 1);
    // Unlike a host's report by a declined placement, the statement of the server still holds.
    long later = 10 * SECOND;
    assertEquals(
        count(dispatcher.submit(online(later, 300, true), later), Decision.Refused.class), 1);
    assertEquals(count(dispatcher.submit(item(later, 60_000), later), Decision.Placed.class), 0);
  }

  /** A retry waited for a server that was leaving, since the other one had failed it. */
  @Test
  public void submit_refusesAtOnceWhatOnlyALeavingServerCouldTake() {
    backend("a", 4, true, 0);
    backend("b", 4, true, 0);
    stateLeaving("a", 0);
    Decision.Refused refused =
        (Decision.Refused) dispatcher.submit(online(0, 300, true, "b"), 0).get(0);
    assertEquals(refused.reason(), RefusalReason.NO_BACKEND);
    assertEquals(count(dispatcher.submit(online(0, 300, true), 0), Decision.Placed.class), 1);
  }

  @Test
  public void submit_prefersServersThatDidNotFail() {
    backend("a", 4, true, 0);
    Demand demand = online(0, 300, false);
    dispatcher.submit(demand, 0);
    dispatcher.finished(demand.id(), PlacementResult.FAILED, RunReport.of(false), 0);
    backend("b", 4, true, 0);
    for (int call = 0; call < 4; call++) {
      Decision.Placed placed = (Decision.Placed) dispatcher.submit(online(0, 300, false), 0).get(0);
      assertEquals(placed.backend(), BackendServerId.of("b"));
    }
    Decision.Placed fifth = (Decision.Placed) dispatcher.submit(online(0, 300, false), 0).get(0);
    assertEquals(fifth.backend(), BackendServerId.of("a"));
  }

  @Test
  public void hostRestarted_freesTheSlotsOfTheHost() {
    backend("a", 1, true, 0);
    dispatcher.submit(online(0, 300, false), 0);
    dispatcher.hostRestarted(HostId.of("h"));
    assertEquals(count(dispatcher.submit(online(0, 300, false), 0), Decision.Placed.class), 1);
  }

  @Test
  public void hostLost_freesTheSlotsOfTheHostAfterTheRetention() {
    backend("a", 1, true, 0);
    dispatcher.submit(online(0, 300, false), 0);
    dispatcher.hostLost(HostId.of("h"), 0);
    dispatcher.tick(SECOND);
    assertEquals(dispatcher.runningCount(), 1);
    dispatcher.tick(3 * SECOND);
    assertEquals(dispatcher.runningCount(), 0);
  }

  /** Every 6 s, online load peaks at five times its trough; batch items would fill all slots. */
  @Test
  public void onlineRequestsAreOnTimeInPeaksWhileItemsUseTheTroughs() {
    for (int server = 0; server < 6; server++) {
      backend("s" + server, 8, true, 0);
    }
    PeakReplay.Outcome outcome = new PeakReplay(dispatcher, SERVICE, 3.5, 20261204).run(30);
    assertTrue(
        outcome.onTime() >= 0.97 * outcome.submitted(),
        outcome.onTime() + " of " + outcome.submitted() + " on time");
    assertTrue(outcome.itemsDone() >= 70, outcome.itemsDone() + " items done");
  }

  /** For 90 s, 1.5 times as many items arrive as the slots left by online requests can run. */
  @Test
  public void itemOverloadMakesSomeItemsLateAndNotAll() {
    for (int server = 0; server < 6; server++) {
      backend("s" + server, 8, true, 0);
    }
    int seconds = 90;
    double slotsLeft = 48 - PeakReplay.MEAN_ONLINE_IN_PROGRESS;
    double itemCapacity = slotsLeft / PeakReplay.ITEM_SECONDS * seconds;
    PeakReplay.Outcome outcome =
        new PeakReplay(dispatcher, SERVICE, 1.5 * itemCapacity / seconds, 20261204).run(seconds);
    assertTrue(
        outcome.itemsOnTime() >= 0.8 * itemCapacity,
        outcome.itemsOnTime() + " items on time, capacity for " + itemCapacity);
    assertTrue(
        outcome.onTime() >= 0.97 * outcome.submitted(),
        outcome.onTime() + " of " + outcome.submitted() + " on time");
  }

  /**
   * After a long outage 20,000 late items wait while online requests come and go. With a cost of
   * each decision that grows with the queue, this replay would take hours.
   */
  @Test
  public void onlineRequestsAreServedBesideAnyNumberOfWaitingItems() {
    for (int server = 0; server < 10; server++) {
      backend("s" + server, 8, true, 0);
    }
    for (int item = 0; item < 20_000; item++) {
      dispatcher.submit(item(0, 0), 0);
    }
    long start = 60 * SECOND;
    long placed = 0;
    for (int request = 0; request < 20_000; request++) {
      long now = start + request * MILLI;
      Demand demand = online(now, 300, false);
      placed += count(dispatcher.submit(demand, now), Decision.Placed.class);
      dispatcher.finished(demand.id(), PlacementResult.ANSWERED, RunReport.of(false), now);
    }
    assertEquals(placed, 20_000);
    assertEquals(dispatcher.waitingCount(), 20_000 - dispatcher.runningCount());
  }
}
