package org.trefoilbarrow.coordination.backend;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class PermitSimulationTest {
  private static final Duration RUN_TIME = Duration.ofMinutes(2);
  private static final int SEEDS = 20;

  @DataProvider
  public Object[][] hostCounts() {
    return new Object[][] {{2}, {3}, {9}};
  }

  @Test(dataProvider = "hostCounts")
  public void permitsInUseNeverExceedTheServersPermits(int hosts) {
    long borrowed = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      PermitSimulation simulation =
          new PermitSimulation(seed, hosts, PermitSimulation.Mutation.NONE);
      int excess = simulation.run(RUN_TIME);
      assertTrue(excess <= 0, excess + " requests above the permits, seed " + seed);
      borrowed += simulation.borrowedStarts();
    }
    assertTrue(borrowed > 0, "no request started on a borrowed permit");
  }

  @DataProvider
  public Object[][] mutations() {
    return new Object[][] {
      {PermitSimulation.Mutation.COUNT_FROM_ARRIVAL},
      {PermitSimulation.Mutation.USE_SHARES_WITHOUT_WAIT},
      {PermitSimulation.Mutation.RETURN_PERMIT_IN_USE},
    };
  }

  @Test(dataProvider = "mutations")
  public void checkDetectsAMissingRule(PermitSimulation.Mutation mutation) {
    int worst = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      worst = Math.max(worst, new PermitSimulation(seed, 3, mutation).run(RUN_TIME));
    }
    assertTrue(worst > 0, "the check does not detect " + mutation);
  }
}
