package org.trefoilbarrow.coordination.backend;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.RouteTarget;

public final class BackendStateTest {
  private static final long MILLI = 1_000_000;
  private static final ImmutableSet<Integer> SHARES = ImmutableSet.of(0);
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

  @DataProvider
  public Object[][] backoffs() {
    return new Object[][] {
      // Result, number of such results in a row, backoff in ms.
      {CallResult.UNREACHABLE, 1, 10},
      {CallResult.UNREACHABLE, 2, 20},
      {CallResult.UNREACHABLE, 3, 40},
      {CallResult.WARMING, 1, 10},
      {CallResult.WARMING, 7, 500},
      {CallResult.FAILURE, 2, 20},
      {CallResult.FAILURE, 3, 40},
      {CallResult.UNREACHABLE, 100, 500},
    };
  }

  @Test(dataProvider = "backoffs")
  public void onResult_backsOffForTheBaseDoubledByEachFurtherFailure(
      CallResult result, int count, long backoffMillis) {
    BackendState state =
        new BackendState(
            RULES,
            new BackendDefinition(
                BackendServerId.of("one"),
                "http://127.0.0.1:1",
                FailureDomainId.of("north"),
                ImmutableSet.of(RouteTarget.of("echo")),
                8,
                3,
                true),
            0);
    for (int failure = 0; failure < count; failure++) {
      state.onResult(result, 0);
    }
    assertFalse(state.mayStart(SHARES, 1, backoffMillis * MILLI - 1));
    assertTrue(state.mayStart(SHARES, 1, backoffMillis * MILLI));
  }
}
