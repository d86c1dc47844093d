package org.trefoilbarrow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.fleet.HostProcess;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.standins.EngineProfile;

/**
 * Batch jobs while hosts, the platform and engines fail; everything is counted from the outside.
 */
public final class BatchFaultsTest {
  private static final int ITEMS = 1500;

  private Fleet fleet;

  @BeforeMethod
  public void startFleet() {
    EngineProfile profile = new EngineProfile(ImmutableList.of("echo"), 32, 10, 10, 32, 0, 200);
    fleet = Fleet.start(3, profile, profile);
    fleet.configure(OrganisationSpec.of(5000, 5000), 24, 24);
  }

  @AfterMethod(alwaysRun = true)
  public void stopFleet() {
    fleet.close();
  }

  private String submit(int host, int items) {
    return submit(host, items, 4);
  }

  private String submit(int host, int items, int tokens) {
    StringBuilder content = new StringBuilder();
    for (int i = 0; i < items; i++) {
      content.append(ApiClient.item("item-" + i, "report " + i, tokens));
    }
    ApiClient.Response answer = fleet.caller(host).submit(content.toString());
    assertEquals(answer.status(), 200, answer.body());
    return answer.json().path("id").asText();
  }

  private void awaitSome(int host, String job) {
    Eventually.that("some items are done", () -> fleet.caller(host).countDoneItems(job) > 50);
  }

  private void assertEveryItemOnce(int host, String job, int items) {
    Eventually.that("job completes", () -> fleet.caller(host).jobStatus(job).equals("completed"));
    List<String> results = fleet.caller(host).results(job, "output");
    assertEquals(results.size(), items);
    assertEquals(ImmutableSet.copyOf(results).size(), items);
  }

  @Test
  public void everyItemCompletesOnceWhenSubmitterAndHolderAreKilled() {
    String job = submit(0, ITEMS);
    awaitSome(1, job);
    fleet.host(0).kill();
    assertEveryItemOnce(1, job, ITEMS);
    fleet.host(0).start();
    Eventually.that("host is back", () -> fleet.caller(0).get("/v1/models").status() == 200);
    assertEveryItemOnce(0, job, ITEMS);
  }

  @Test
  public void everyItemCompletesOnceWhenFrozenHolderWakesAfterItsClaimLapsed() {
    String job = submit(0, ITEMS);
    awaitSome(0, job);
    fleet.host(1).suspend();
    fleet.host(2).suspend();
    Eventually.that("job completes", () -> fleet.caller(0).jobStatus(job).equals("completed"));
    fleet.host(1).resume();
    fleet.host(2).resume();
    // Let the hosts that woke try to commit what they had.
    Eventually.pause(Duration.ofSeconds(2));
    assertEveryItemOnce(2, job, ITEMS);
  }

  @Test
  public void everyItemCompletesOnceOverPlatformOutageAndLostAnswers() {
    String job = submit(0, ITEMS);
    awaitSome(0, job);
    fleet.platform().loseResponses(5);
    Eventually.pause(Duration.ofMillis(700));
    fleet.platform().setOutage(true);
    Eventually.pause(Duration.ofSeconds(4));
    ApiClient.Response refused = fleet.caller(1).submit(ApiClient.item("late", "late", 1));
    assertTrue(refused.isNotRun(), refused.body());
    fleet.platform().setOutage(false);
    fleet.platform().loseResponses(3);
    assertEveryItemOnce(2, job, ITEMS);
  }

  @Test
  public void everyItemCompletesOnceWhenAnEngineRestarts() {
    String job = submit(0, ITEMS);
    awaitSome(0, job);
    fleet.engine(0).restart();
    assertEveryItemOnce(1, job, ITEMS);
  }

  @Test
  public void itemThatCanNeverBeDoneEndsAsFailedAndDelaysNoOther() {
    String content =
        ApiClient.item("bad", "impossible", 1)
            + ApiClient.item("good", "possible", 1)
            + ApiClient.item("absent", "x", 1).replace(Fleet.MODEL, "absent");
    String job = fleet.caller(0).submit(content).json().path("id").asText();
    Eventually.that("job completes", () -> fleet.caller(1).jobStatus(job).equals("completed"));
    assertEquals(fleet.caller(1).results(job, "output"), ImmutableList.of("good"));
    assertEquals(
        ImmutableSet.copyOf(fleet.caller(2).results(job, "errors")),
        ImmutableSet.of("bad", "absent"));
  }

  @Test
  public void cancelledJobStopsAndStaysCancelled() {
    String job = submit(0, 20_000);
    awaitSome(0, job);
    List<CompletableFuture<ApiClient.Response>> cancels = new ArrayList<>();
    for (int host = 0; host < 3; host++) {
      ApiClient caller = fleet.caller(host);
      cancels.add(
          CompletableFuture.supplyAsync(() -> caller.post("/v1/batches/" + job + "/cancel", "{}")));
    }
    for (CompletableFuture<ApiClient.Response> cancel : cancels) {
      assertEquals(cancel.join().json().path("status").asText(), "cancelled");
    }
    Eventually.that("dispatch stops", this::nothingRuns);
    int done = fleet.caller(1).countDoneItems(job);
    assertTrue(done < 20_000, "the job ran to its end");
    // Several claim and checkpoint periods later nothing more was done.
    Eventually.pause(Duration.ofSeconds(2));
    assertEquals(fleet.caller(2).countDoneItems(job), done);
    assertEquals(fleet.caller(2).jobStatus(job), "cancelled");
    assertEquals(fleet.caller(2).results(job, "output").size(), done);
  }

  private boolean nothingRuns() {
    return IntStream.range(0, 3)
        .mapToObj(host -> fleet.operator(host).get("/admin/v1/status").json())
        .allMatch(
            report ->
                report.path("batchItems").asInt() == 0
                    && report.path("batchSegments").asInt() == 0);
  }

  @Test
  public void resultsStayReadableAfterEveryHostWasReplaced() {
    String job = submit(0, 200);
    assertEveryItemOnce(1, job, 200);
    fleet.hosts().forEach(HostProcess::stop);
    HostProcess replacement = fleet.addHost("host-4");
    replacement.start();
    Eventually.that("host serves", () -> fleet.caller(3).get("/v1/models").status() == 200);
    assertEveryItemOnce(3, job, 200);
  }

  @Test
  public void callThatMayNotBeRepeatedRunsOnceForAnyNumberOfResends() {
    List<CompletableFuture<ApiClient.Response>> calls = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      ApiClient caller = fleet.caller(i % 3);
      calls.add(CompletableFuture.supplyAsync(() -> issue(caller, "frame 7", "frame-7")));
    }
    for (CompletableFuture<ApiClient.Response> call : calls) {
      ApiClient.Response answer = call.join();
      assertTrue(isKnown(answer), answer.body());
    }
    ApiClient.Response later = issue(fleet.caller(1), "frame 7", "frame-7");
    assertEquals(later.json().path("certificate").asInt(), 1, later.body());
    assertEquals(fleet.service().runs(), Map.of("frame 7", 1));
    ApiClient.Response other = issue(fleet.caller(2), "frame 8", "frame-7");
    assertEquals(other.errorCode(), "idempotency_key_reused");
  }

  @Test
  public void callThatMayNotBeRepeatedIsNotRunAgainWhenItsHostDies() {
    ApiClient dying = fleet.caller(0);
    CompletableFuture<ApiClient.Response> first =
        CompletableFuture.supplyAsync(() -> issue(dying, "slow 1", "slow-1"));
    Eventually.that("call runs", () -> fleet.service().runs().containsKey("slow 1"));
    fleet.host(0).kill();
    first.join();
    ApiClient.Response resend = issue(fleet.caller(1), "slow 1", "slow-1");
    assertEquals(resend.errorCode(), "outcome_unknown", resend.body());
    assertEquals(fleet.service().runs(), Map.of("slow 1", 1));
  }

  @Test
  public void callThatMayNotBeRepeatedRunsOnceWhenThePlatformGoesDownDuringIt() {
    ApiClient caller = fleet.caller(0);
    CompletableFuture<ApiClient.Response> first =
        CompletableFuture.supplyAsync(() -> issue(caller, "slow 2", "slow-2"));
    Eventually.that("call runs", () -> fleet.service().runs().containsKey("slow 2"));
    fleet.platform().setOutage(true);
    ApiClient.Response answer = first.join();
    assertEquals(answer.status(), 200, answer.body());
    ApiClient.Response meanwhile = issue(fleet.caller(1), "slow 2", "slow-2");
    assertTrue(meanwhile.status() >= 400, meanwhile.body());
    fleet.platform().setOutage(false);
    for (int host = 0; host < 3; host++) {
      ApiClient resender = fleet.caller(host);
      Eventually.that("resend is answered", () -> isKnown(issue(resender, "slow 2", "slow-2")));
    }
    assertEquals(fleet.service().runs(), Map.of("slow 2", 1));
  }

  private static ApiClient.Response issue(ApiClient caller, String subject, String key) {
    return caller.post(
        "/services/certificates/certificates",
        "{\"subject\":\"" + subject + "\"}",
        "Idempotency-Key",
        key);
  }

  private static boolean isKnown(ApiClient.Response answer) {
    return answer.status() == 200 || answer.errorCode().equals("outcome_unknown");
  }

  /** Each item holds its permit for longer than a request may wait for one. */
  @Test
  public void onlineBurstTakesThePermitsOfRunningItems() {
    final String job = submit(0, 4000, 5000);
    Eventually.that("items hold the permits", () -> batchInProgress() >= 40);
    List<CompletableFuture<ApiClient.Response>> burst = new ArrayList<>();
    for (int i = 0; i < 36; i++) {
      ApiClient caller = fleet.caller(i % 3);
      burst.add(
          CompletableFuture.supplyAsync(
              () -> caller.chat("counter", 2), command -> new Thread(command).start()));
    }
    for (CompletableFuture<ApiClient.Response> answer : burst) {
      assertEquals(answer.join().status(), 200, answer.join().body());
    }
    assertEquals(fleet.caller(1).post("/v1/batches/" + job + "/cancel", "{}").status(), 200);
    Eventually.that("items end", () -> batchInProgress() == 0);
  }

  private int batchInProgress() {
    int sum = 0;
    for (int host = 0; host < 3; host++) {
      sum += fleet.operator(host).get("/admin/v1/status").json().path("batchItems").asInt();
    }
    return sum;
  }

  @Test
  public void everyItemCompletesOnceWhileAllHostsAreReplacedInTurn() {
    String job = submit(0, ITEMS);
    for (int host = 0; host < 3; host++) {
      HostProcess replaced = fleet.host(host);
      replaced.stop();
      replaced.start();
      Eventually.that("host is back", replaced::isHealthy);
    }
    assertEveryItemOnce(2, job, ITEMS);
  }
}
