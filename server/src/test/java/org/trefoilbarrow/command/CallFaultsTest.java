package org.trefoilbarrow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.standins.EngineProfile;

/**
 * Tests calls that may not be repeated while hosts and the platform fail. All counts come from the
 * stand-in of the service.
 */
public final class CallFaultsTest {
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

  @Test
  public void nonIdempotentCallRunsOnceForAnyNumberOfRetries() {
    List<CompletableFuture<ApiClient.Response>> calls = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      ApiClient caller = fleet.caller(i % 3);
      calls.add(CompletableFuture.supplyAsync(() -> issue(caller, "frame 7", "frame-7")));
    }
    for (CompletableFuture<ApiClient.Response> call : calls) {
      ApiClient.Response response = call.join();
      assertTrue(isRecordedOutcome(response), response.body());
    }
    ApiClient.Response laterResponse = issue(fleet.caller(1), "frame 7", "frame-7");
    assertEquals(laterResponse.json().path("certificate").asInt(), 1, laterResponse.body());
    assertEquals(fleet.service().runs(), Map.of("frame 7", 1));
    ApiClient.Response otherBodyResponse = issue(fleet.caller(2), "frame 8", "frame-7");
    assertEquals(otherBodyResponse.errorCode(), "idempotency_key_reused");
  }

  @Test
  public void nonIdempotentCallIsNotRunAgainWhenItsHostIsKilled() {
    ApiClient callerOfKilledHost = fleet.caller(0);
    CompletableFuture<ApiClient.Response> first =
        CompletableFuture.supplyAsync(() -> issue(callerOfKilledHost, "slow 1", "slow-1"));
    Eventually.that("call runs", () -> fleet.service().runs().containsKey("slow 1"));
    fleet.host(0).kill();
    first.join();
    ApiClient.Response retry = issue(fleet.caller(1), "slow 1", "slow-1");
    assertEquals(retry.errorCode(), "outcome_unknown", retry.body());
    assertEquals(fleet.service().runs(), Map.of("slow 1", 1));
  }

  @Test
  public void nonIdempotentCallRunsOnceDespitePlatformOutage() {
    ApiClient caller = fleet.caller(0);
    CompletableFuture<ApiClient.Response> first =
        CompletableFuture.supplyAsync(() -> issue(caller, "slow 2", "slow-2"));
    Eventually.that("call runs", () -> fleet.service().runs().containsKey("slow 2"));
    fleet.platform().setOutage(true);
    ApiClient.Response response = first.join();
    assertEquals(response.status(), 200, response.body());
    ApiClient.Response outageResponse = issue(fleet.caller(1), "slow 2", "slow-2");
    assertTrue(outageResponse.status() >= 400, outageResponse.body());
    fleet.platform().setOutage(false);
    for (int host = 0; host < 3; host++) {
      ApiClient retryingCaller = fleet.caller(host);
      Eventually.that(
          "retry is answered", () -> isRecordedOutcome(issue(retryingCaller, "slow 2", "slow-2")));
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

  private static boolean isRecordedOutcome(ApiClient.Response response) {
    return response.status() == 200 || response.errorCode().equals("outcome_unknown");
  }
}
