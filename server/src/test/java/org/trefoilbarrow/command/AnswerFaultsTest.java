package org.trefoilbarrow.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.fleet.ApiClient;
import org.trefoilbarrow.fleet.Eventually;
import org.trefoilbarrow.fleet.Fleet;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.standins.EngineProfile;
import org.trefoilbarrow.standins.EngineStandIn;
import org.trefoilbarrow.standins.LinkStandIn;

/**
 * Tests faults of backend servers: responses that belong to another request, are truncated or
 * stall, and connections that become unresponsive.
 */
public final class AnswerFaultsTest {
  private static final String END_MARKER = "[DONE]";
  private static final int ROUTE_TIMEOUT_MILLIS = 4000;

  private Fleet fleet;

  @AfterMethod(alwaysRun = true)
  public void stopFleet() {
    fleet.close();
  }

  @BeforeMethod
  public void resetFleet() {
    fleet = null;
  }

  private void startFleet(int engines) {
    EngineProfile[] profiles =
        IntStream.range(0, engines)
            .mapToObj(i -> EngineProfile.echo(ImmutableList.of("echo")))
            .toArray(EngineProfile[]::new);
    fleet =
        Fleet.start(
            "\"shares\": {\"leaseMillis\": 8000},"
                + "\"backends\": {\"coldForMillis\": 100, \"rampForMillis\": 500,"
                + "\"stallTimeoutMillis\": 1000}",
            1,
            profiles);
    fleet.configure(OrganisationSpec.of(2000, 2000));
  }

  private String readStream(String prompt) throws IOException {
    try (InputStream stream = fleet.caller(0).stream(ApiClient.chatBody(prompt, 20, true))) {
      return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {EngineStandIn.Fault.CROSSED}, {EngineStandIn.Fault.TRUNCATED}, {EngineStandIn.Fault.STALLED},
    };
  }

  @Test(dataProvider = "faults")
  public void faultyResponseIsNeverReturnedAsComplete(EngineStandIn.Fault fault)
      throws IOException {
    startFleet(1);
    fleet
        .operator(0)
        .updateEntity(
            "routes/" + Fleet.MODEL, spec -> spec.put("timeoutMillis", ROUTE_TIMEOUT_MILLIS));
    fleet.engine(0).setFault(fault);
    ApiClient.Response response = fleet.caller(0).chat("x", 4);
    assertTrue(response.status() >= 500, response.body());
    assertFalse(response.isNotRun(), "the engine ran the request: " + response.body());
    String stream = readStream("a b c");
    assertFalse(stream.contains(END_MARKER), stream);
    assertTrue(stream.contains("\"error\""), stream);
    fleet.engine(0).setFault(EngineStandIn.Fault.NONE);
    Eventually.that(
        "responses are complete again", () -> fleet.caller(0).chat("x", 1).status() == 200);
    assertTrue(readStream("a b c").contains(END_MARKER));
  }

  @DataProvider
  public Object[][] faultsBeforeTheFirstToken() {
    return new Object[][] {
      {EngineStandIn.Fault.CROSSED}, {EngineStandIn.Fault.TRUNCATED},
    };
  }

  @Test(dataProvider = "faultsBeforeTheFirstToken")
  public void faultyResponseIsRetriedAtAnotherEngine(EngineStandIn.Fault fault) {
    startFleet(2);
    fleet.engine(0).setFault(fault);
    for (int i = 0; i < 20; i++) {
      ApiClient.Response response = fleet.caller(0).chat("prompt " + i, 2);
      assertEquals(response.status(), 200, response.body());
      String text = response.json().at("/choices/0/message/content").asText();
      assertEquals(text, "prompt " + i);
    }
  }

  /** All open connections become unresponsive for good, some of them with a waiting request. */
  @Test
  public void requestsAreServedAfterOpenConnectionsBecomeUnresponsive() throws IOException {
    startFleet(1);
    URI engine = URI.create(fleet.engine(0).address());
    try (LinkStandIn link =
        LinkStandIn.start(
            new InetSocketAddress("127.0.0.1", 0),
            new InetSocketAddress(engine.getHost(), engine.getPort()))) {
      fleet
          .operator(0)
          .updateEntity(
              "backend-servers/engine-0", spec -> spec.put("address", "http://" + link.address()));
      Eventually.that("requests use the link", () -> usesLink(link));
      final List<CompletableFuture<ApiClient.Response>> waitingRequests =
          IntStream.range(0, 4).mapToObj(i -> chatInBackground(i, 1000)).toList();
      Eventually.that("requests wait", () -> link.responsiveConnections() > 4);
      link.stallOpenConnections();
      ApiClient.Response nextResponse = fleet.caller(0).chat("next", 1);
      assertEquals(nextResponse.status(), 200, nextResponse.body());
      for (CompletableFuture<ApiClient.Response> response : waitingRequests) {
        assertNotEquals(response.join().status(), 0);
      }
      assertEquals(fleet.caller(0).chat("after", 1).status(), 200);
    }
  }

  private boolean usesLink(LinkStandIn link) {
    return fleet.caller(0).chat("x", 1).status() == 200 && link.responsiveConnections() > 0;
  }

  private CompletableFuture<ApiClient.Response> chatInBackground(int number, int tokens) {
    ApiClient caller = fleet.caller(0);
    return CompletableFuture.supplyAsync(
        () -> caller.chat("waiting " + number, tokens), command -> new Thread(command).start());
  }
}
