package org.trefoilbarrow.transport.backend;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.operators.RouteType;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestId;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.FaultyPlatform;

public final class RecordedCallsTest {
  private static final String KEY = "key";

  private FaultyPlatform platform;
  private AtomicInteger sent;
  private byte[] body;
  private RecordedCalls calls;

  @BeforeMethod
  public void createCalls() {
    platform = new FaultyPlatform(1);
    sent = new AtomicInteger();
    createCallsOn(platform);
  }

  private static OnlineCall call(String requestId) {
    return new OnlineCall(
        "certificates",
        new RouteSpec(RouteType.SERVICE, "registry", false, false, ImmutableList.of("acme"), 5000),
        BackendRequest.of(
            RequestId.of(requestId),
            "POST",
            "/issue",
            "text/plain",
            "frame".getBytes(UTF_8),
            false,
            Duration.ofSeconds(5)),
        OrganisationId.of("acme"),
        1,
        10,
        "");
  }

  @DataProvider
  public Object[][] bodies() {
    return new Object[][] {{0}, {10}, {512 << 10}, {(512 << 10) + 1}, {700_000}, {5 << 20}};
  }

  @Test(dataProvider = "bodies")
  public void call_returnsTheRecordedOutcomeToEachRepeat(int bytes) throws Exception {
    body = new byte[bytes];
    new Random(bytes).nextBytes(body);
    FullResponse first = calls.call(call("first"), KEY, abort -> {});
    FullResponse repeat = calls.call(call("second"), KEY, abort -> {});
    assertEquals(repeat.body(), first.body());
    assertEquals(repeat.status(), 201);
    assertEquals(repeat.contentType(), "text/plain");
    assertEquals(sent.get(), 1);
  }

  /** The parts are written before the record that names them, so that it names none in vain. */
  @Test
  public void call_isNotRunAgainWhateverWriteOfALargeOutcomeFails() throws Exception {
    body = new byte[5 << 20];
    for (int seed = 0; seed < 100; seed++) {
      platform = new FaultyPlatform(seed);
      createCallsOn(platform);
      sent.set(0);
      platform.setFailureChance(0.5);
      try {
        calls.call(call("first"), KEY, abort -> {});
      } catch (ServiceException e) {
        assertEquals(e.kind(), ErrorKind.PLATFORM_UNAVAILABLE);
        continue;
      }
      platform.setFailureChance(0);
      try {
        assertEquals(calls.call(call("second"), KEY, abort -> {}).body(), body);
      } catch (ServiceException e) {
        assertEquals(e.kind(), ErrorKind.OUTCOME_UNKNOWN);
      }
      assertEquals(sent.get(), 1, "seed " + seed);
    }
  }

  private void createCallsOn(FaultyPlatform faulty) {
    calls =
        new RecordedCalls(
            faulty,
            new ConfirmedWrites(faulty, (Duration time) -> {}),
            (call, onSending) -> {
              sent.incrementAndGet();
              return new FullResponse(201, "text/plain", body);
            },
            () -> 7);
  }

  @Test
  public void call_refusesAnotherRequestWithTheSameKey() throws Exception {
    body = new byte[1];
    calls.call(call("first"), KEY, abort -> {});
    OnlineCall original = call("second");
    OnlineCall other =
        new OnlineCall(
            "other",
            original.spec(),
            original.request(),
            original.organisation(),
            original.weight(),
            original.maxQueued(),
            original.affinity());
    // The route is part of the name, so another route is another call.
    calls.call(other, KEY, abort -> {});
    assertEquals(sent.get(), 2);
    expectThrows(
        ServiceException.class,
        () ->
            calls.call(
                new OnlineCall(
                    original.route(),
                    original.spec(),
                    BackendRequest.of(
                        RequestId.of("third"),
                        "POST",
                        "/issue",
                        "text/plain",
                        "another frame".getBytes(UTF_8),
                        false,
                        Duration.ofSeconds(5)),
                    original.organisation(),
                    original.weight(),
                    original.maxQueued(),
                    original.affinity()),
                KEY,
                abort -> {}));
  }
}
