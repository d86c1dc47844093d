package org.trefoilbarrow.coordination.token;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the bound on tokens over all hosts, under seeded faults of every kind. */
public final class TokenBoundTest {
  private static final Duration RUN = Duration.ofMinutes(8);
  private static final int SEEDS = 20;
  private static final int MUTATION_SEEDS = 40;

  @DataProvider
  public Object[][] hostCounts() {
    return new Object[][] {{2}, {3}, {5}};
  }

  @Test(dataProvider = "hostCounts")
  public void tokensInAnyWindowAreAtMostRateAndBurst(int hostCount) {
    long acquired = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      TokenSimulation.Result result =
          new TokenSimulation(seed, hostCount, TokenSimulation.Mutation.NONE).run(RUN);
      String run = "seed " + seed + " with " + hostCount + " hosts: " + result;
      assertEquals(result.violations(), 0, run);
      assertEquals(result.poolViolations(), 0, run);
      acquired += result.acquired();
    }
    assertTrue(acquired > 0, "no token was acquired");
  }

  @DataProvider
  public Object[][] mutations() {
    return Arrays.stream(TokenSimulation.Mutation.values())
        .filter(mutation -> mutation != TokenSimulation.Mutation.NONE)
        .map(mutation -> new Object[] {mutation})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "mutations")
  public void boundBreaksWithoutTheProtectingRule(TokenSimulation.Mutation mutation) {
    for (long seed = 1; seed <= MUTATION_SEEDS; seed++) {
      TokenSimulation.Result result = new TokenSimulation(seed, 3, mutation).run(RUN);
      if (result.violations() > 0 || result.poolViolations() > 0) {
        return;
      }
    }
    throw new AssertionError("the check does not detect " + mutation);
  }
}
