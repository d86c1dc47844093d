package org.trefoilbarrow.coordination.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RouteTarget;
import org.trefoilbarrow.protocol.ServiceException;

public final class PermitSchedulerTest {
  private static final int SHARES = 12;
  private static final long MILLI = 1_000_000;
  private static final long FIRST_LOAN = 1;
  private static final HostId BORROWER = HostId.of("borrower");
  private static final HostId LENDER = HostId.of("lender");
  private static final RouteTarget MODEL = RouteTarget.of("echo");
  private static final PermitRules RULES =
      new PermitRules(
          Duration.ofMillis(100),
          Duration.ofMillis(100),
          Duration.ofMinutes(5),
          Duration.ofMillis(10),
          Duration.ofMillis(500),
          Duration.ofMillis(1000),
          Duration.ofMillis(1000),
          Duration.ofMillis(100));

  private PermitScheduler scheduler;
  private long now;
  private long nextRequestId;

  @BeforeMethod
  public void createScheduler() {
    now = MILLI;
    nextRequestId = 1;
    scheduler = newScheduler(allShares());
  }

  private static Set<Integer> allShares() {
    Set<Integer> shares = new HashSet<>();
    for (int i = 0; i < SHARES; i++) {
      shares.add(i);
    }
    return shares;
  }

  private PermitScheduler newScheduler(Set<Integer> shares) {
    PermitScheduler created =
        new PermitScheduler(
            RULES,
            BackendChoice.byLoadAndAffinity(FailureDomainId.of("north")),
            SHARES,
            FIRST_LOAN);
    created.setShares(shares);
    created.configure(ImmutableList.of(definition("one", 8, 3, true)), now);
    return created;
  }

  private static BackendDefinition definition(
      String name, int permits, int cold, boolean accepting) {
    return new BackendDefinition(
        BackendServerId.of(name),
        "http://127.0.0.1:1",
        FailureDomainId.of("north"),
        ImmutableSet.of(MODEL),
        permits,
        cold,
        accepting);
  }

  private PermitRequest newRequest(String organisation, int weight) {
    return new PermitRequest(
        nextRequestId++,
        MODEL,
        OrganisationId.of(organisation),
        weight,
        1000,
        ImmutableSet.of(),
        "");
  }

  private void warmUp(PermitScheduler warmed) {
    Permit probe = warmed.request(newRequest("probe", 1), now).orElseThrow();
    warmed.release(probe, CallResult.SUCCESS, now);
    now += 150 * MILLI;
    warmed.report(now);
    now += 1500 * MILLI;
    assertEquals(warmed.report(now).get(0).temperature(), Temperature.WARM);
  }

  @Test
  public void request_sendsOneProbeToAServerInUnknownState() {
    assertTrue(scheduler.request(newRequest("a", 1), now).isPresent());
    assertTrue(scheduler.request(newRequest("a", 1), now).isEmpty());
  }

  @Test
  public void request_staysWithinTheColdPermitsAfterABootIdChange() {
    warmUp(scheduler);
    scheduler.onBootId(BackendServerId.of("one"), "first", now);
    scheduler.onBootId(BackendServerId.of("one"), "second", now);
    int started = 0;
    for (int i = 0; i < 8; i++) {
      started += scheduler.request(newRequest("a", 1), now).isPresent() ? 1 : 0;
    }
    assertEquals(started, 3);
  }

  @DataProvider
  public Object[][] temperatures() {
    return new Object[][] {{1, 1}, {8, 3}, {13, 12}, {24, 24}, {100, 7}};
  }

  @Test(dataProvider = "temperatures")
  public void limit_addsUpToThePermitsOverAllHosts(int permits, int cold) {
    for (long seed = 1; seed <= 50; seed++) {
      Random random = new Random(seed);
      List<Set<Integer>> parts = new ArrayList<>();
      for (int host = 0; host < 4; host++) {
        parts.add(new HashSet<>());
      }
      for (int share = 0; share < SHARES; share++) {
        parts.get(random.nextInt(4)).add(share);
      }
      int coldSum = 0;
      for (Set<Integer> part : parts) {
        BackendState state = new BackendState(RULES, definition("one", permits, cold, true), now);
        state.onResult(CallResult.SUCCESS, now);
        coldSum += state.limit(part, SHARES, now);
      }
      assertEquals(coldSum, cold, "seed " + seed);
    }
  }

  @Test
  public void collectRevocations_freesBatchPermitsForOnlineRequests() {
    warmUp(scheduler);
    List<Permit> batch = new ArrayList<>();
    Optional<Permit> next = scheduler.tryAcquireForBatch(newRequest("lots", 1), now);
    while (next.isPresent()) {
      batch.add(next.get());
      next = scheduler.tryAcquireForBatch(newRequest("lots", 1), now);
    }
    assertEquals(batch.size(), 8);
    assertTrue(scheduler.request(newRequest("counter", 1), now).isEmpty());
    assertTrue(scheduler.request(newRequest("counter", 1), now).isEmpty());
    List<Permit> revoked = scheduler.collectRevocations(now);
    assertEquals(revoked.size(), 2);
    assertTrue(scheduler.collectRevocations(now).isEmpty(), "each is revoked once");
    revoked.forEach(permit -> scheduler.release(permit, CallResult.CANCELLED, now));
    assertEquals(scheduler.assign(now).size(), 2);
  }

  @Test
  public void tryAcquireForBatch_leavesWhatOnlineWorkUsedRecently() {
    warmUp(scheduler);
    List<Permit> online = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      online.add(scheduler.request(newRequest("counter", 1), now).orElseThrow());
    }
    online.forEach(permit -> scheduler.release(permit, CallResult.SUCCESS, now));
    int batch = 0;
    while (scheduler.tryAcquireForBatch(newRequest("lots", 1), now).isPresent()) {
      batch++;
    }
    assertEquals(batch, 3);
    now += 2000 * MILLI;
    assertTrue(scheduler.tryAcquireForBatch(newRequest("lots", 1), now).isPresent());
  }

  @Test
  public void assign_servesOrganisationsByWeight() {
    warmUp(scheduler);
    List<Permit> held = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      held.add(scheduler.request(newRequest("first", 1), now).orElseThrow());
    }
    Map<Long, String> waiting = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String organisation = i < 200 ? "large" : "small";
      PermitRequest request = newRequest(organisation, organisation.equals("small") ? 3 : 1);
      waiting.put(request.id(), organisation);
      assertTrue(scheduler.request(request, now).isEmpty());
    }
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < 80; i++) {
      scheduler.release(held.remove(0), CallResult.SUCCESS, now);
      Assignment assignment = scheduler.assign(now).get(0);
      held.add(assignment.permit());
      served.merge(waiting.get(assignment.requestId()), 1, Integer::sum);
    }
    assertEquals(served, Map.of("small", 60, "large", 20));
  }

  @Test
  public void configure_sendsNoNewWorkToALeavingServer() {
    warmUp(scheduler);
    scheduler.configure(ImmutableList.of(definition("one", 8, 3, false)), now);
    assertThrows(ServiceException.class, () -> scheduler.request(newRequest("a", 1), now));
  }

  @Test
  public void configure_countsRequestsInProgressWhenAServerReturns() {
    warmUp(scheduler);
    for (int i = 0; i < 8; i++) {
      assertTrue(scheduler.request(newRequest("a", 1), now).isPresent());
    }
    scheduler.configure(ImmutableList.of(), now);
    scheduler.configure(ImmutableList.of(definition("one", 8, 3, true)), now);
    assertTrue(scheduler.request(newRequest("a", 1), now).isEmpty());
  }

  @Test
  public void lend_lendsFreePermitsOfWarmServersAndCountsThemAsInUse() {
    assertTrue(scheduler.lend(BORROWER, MODEL, 4, now).isEmpty(), "the server is not warm");
    warmUp(scheduler);
    assertEquals(scheduler.lend(BORROWER, MODEL, 5, now).size(), 5);
    assertEquals(startAll(scheduler), 3);
    assertTrue(scheduler.lend(BORROWER, MODEL, 1, now).isEmpty());
  }

  @Test
  public void lend_revokesBatchPermitsForTheNextRequest() {
    warmUp(scheduler);
    while (scheduler.tryAcquireForBatch(newRequest("lots", 1), now).isPresent()) {
      // Batch work acquires all permits.
    }
    assertTrue(scheduler.lend(BORROWER, MODEL, 2, now).isEmpty());
    List<Permit> revoked = scheduler.collectRevocations(now);
    assertEquals(revoked.size(), 2);
    revoked.forEach(permit -> scheduler.release(permit, CallResult.CANCELLED, now));
    assertTrue(
        scheduler.tryAcquireForBatch(newRequest("lots", 1), now).isEmpty(),
        "batch work got permits that a borrower waits for");
    assertEquals(scheduler.lend(BORROWER, MODEL, 2, now).size(), 2);
  }

  @Test
  public void lend_countsLoansUntilTheyExpire() {
    warmUp(scheduler);
    scheduler.lend(BORROWER, MODEL, 8, now);
    now += 1099 * MILLI;
    assertTrue(scheduler.request(newRequest("a", 1), now).isEmpty());
    assertTrue(scheduler.assign(now).isEmpty());
    now += MILLI;
    assertEquals(scheduler.assign(now).size(), 1);
    assertEquals(startAll(scheduler), 7);
  }

  @Test
  public void renewLoans_recallsAsManyPermitsAsOwnRequestsWaitFor() {
    warmUp(scheduler);
    List<Long> ids = scheduler.lend(BORROWER, MODEL, 8, now).stream().map(PermitLoan::id).toList();
    assertTrue(scheduler.request(newRequest("a", 1), now).isEmpty());
    List<LoanRenewal> renewals = scheduler.renewLoans(BORROWER, ids, now);
    assertEquals(renewals.size(), 8);
    assertEquals(renewals.stream().filter(LoanRenewal::recalled).count(), 1);
    assertTrue(scheduler.renewLoans(LENDER, ids, now).isEmpty(), "another host's loans");
  }

  @Test
  public void onLoans_startsOnlineRequestsWhileTheLoanIsValid() {
    PermitScheduler host = newScheduler(ImmutableSet.of());
    observeUntilWarm(host);
    assertTrue(host.request(newRequest("a", 1), now).isEmpty());
    assertEquals(host.permitShortages(now), ImmutableList.of(new PermitShortage(MODEL, 1)));
    long sentAt = now;
    host.onLoans(LENDER, loans(1, 2), sentAt, now);
    assertEquals(host.assign(now).size(), 1);
    assertTrue(
        host.tryAcquireForBatch(newRequest("lots", 1), now).isEmpty(),
        "batch work got a borrowed permit");
    now = sentAt + 1000 * MILLI;
    assertTrue(host.request(newRequest("a", 1), now).isEmpty(), "the other loan has expired");
  }

  @Test
  public void collectReturns_returnsUnusedAndRecalledPermitsOnly() {
    PermitScheduler host = newScheduler(ImmutableSet.of());
    observeUntilWarm(host);
    host.onLoans(LENDER, loans(1, 2), now, now);
    final Permit permit = host.request(newRequest("a", 1), now).orElseThrow();
    now += 350 * MILLI;
    assertEquals(host.collectRenewals(now), Map.of(LENDER, ImmutableList.of(1L, 2L)));
    assertEquals(host.collectReturns(now), Map.of(LENDER, ImmutableList.of(2L)));
    host.onRenewed(LENDER, new LoanRenewal(1, 1000 * MILLI, true), now);
    host.release(permit, CallResult.SUCCESS, now);
    assertTrue(host.request(newRequest("a", 1), now).isEmpty(), "the permit was recalled");
    assertEquals(host.collectReturns(now), Map.of(LENDER, ImmutableList.of(1L)));
  }

  private static List<PermitLoan> loans(long... ids) {
    return Arrays.stream(ids)
        .mapToObj(id -> new PermitLoan(id, BackendServerId.of("one"), 1000 * MILLI))
        .toList();
  }

  /** Lets a host without permits of its own observe the server until it is warm. */
  private void observeUntilWarm(PermitScheduler host) {
    host.onReachable(BackendServerId.of("one"), now);
    now += 150 * MILLI;
    host.report(now);
    now += 1500 * MILLI;
    assertEquals(host.report(now).get(0).temperature(), Temperature.WARM);
  }

  private int startAll(PermitScheduler host) {
    int started = 0;
    while (host.request(newRequest("a", 1), now).isPresent()) {
      started++;
    }
    return started;
  }
}
