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

/** Answers of backend servers that are crossed, cut short or late, and connections gone silent. */
public final class AnswerFaultsTest {
  private static final String END_MARKER = "[DONE]";
  private static final int ROUTE_TIMEOUT_MILLIS = 4000;

  private Fleet fleet;

  @AfterMethod(alwaysRun = true)
  public void stopFleet() {
    fleet.close();
  }

  @BeforeMethod
  public void startNothing() {
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

  private String streamed(String prompt) throws IOException {
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
  public void brokenAnswerNeverPassesForWhole(EngineStandIn.Fault fault) throws IOException {
    startFleet(1);
    fleet
        .operator(0)
        .updateEntity(
            "routes/" + Fleet.MODEL, spec -> spec.put("timeoutMillis", ROUTE_TIMEOUT_MILLIS));
    fleet.engine(0).setFault(fault);
    ApiClient.Response answer = fleet.caller(0).chat("x", 4);
    assertTrue(answer.status() >= 500, answer.body());
    assertFalse(answer.isNotRun(), "the engine ran it: " + answer.body());
    String stream = streamed("a b c");
    assertFalse(stream.contains(END_MARKER), stream);
    assertTrue(stream.contains("\"error\""), stream);
    fleet.engine(0).setFault(EngineStandIn.Fault.NONE);
    Eventually.that("answers are whole again", () -> fleet.caller(0).chat("x", 1).status() == 200);
    assertTrue(streamed("a b c").contains(END_MARKER));
  }

  @DataProvider
  public Object[][] faultsBeforeTheFirstToken() {
    return new Object[][] {
      {EngineStandIn.Fault.CROSSED}, {EngineStandIn.Fault.TRUNCATED},
    };
  }

  @Test(dataProvider = "faultsBeforeTheFirstToken")
  public void brokenAnswerIsAskedForAgainElsewhere(EngineStandIn.Fault fault) {
    startFleet(2);
    fleet.engine(0).setFault(fault);
    for (int i = 0; i < 20; i++) {
      ApiClient.Response answer = fleet.caller(0).chat("prompt " + i, 2);
      assertEquals(answer.status(), 200, answer.body());
      String text = answer.json().at("/choices/0/message/content").asText();
      assertEquals(text, "prompt " + i);
    }
  }

  /** The connections that are open go silent for good, with requests waiting on some of them. */
  @Test
  public void requestsGoOnWhenOpenConnectionsGoSilent() throws IOException {
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
      Eventually.that("requests take the link", () -> usesLink(link));
      final List<CompletableFuture<ApiClient.Response>> waiting =
          IntStream.range(0, 4).mapToObj(i -> chatInBackground(i, 1000)).toList();
      Eventually.that("requests wait", () -> link.responsiveConnections() > 4);
      link.stallOpenConnections();
      ApiClient.Response next = fleet.caller(0).chat("next", 1);
      assertEquals(next.status(), 200, next.body());
      for (CompletableFuture<ApiClient.Response> answer : waiting) {
        assertNotEquals(answer.join().status(), 0);
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
