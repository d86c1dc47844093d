package org.trefoilbarrow.coordination.backend;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class PermitSimulationTest {
  private static final Duration TIME = Duration.ofMinutes(2);
  private static final int SEEDS = 20;

  @DataProvider
  public Object[][] hostCounts() {
    return new Object[][] {{2}, {3}, {9}};
  }

  @Test(dataProvider = "hostCounts")
  public void permitsInUseNeverExceedTheServers(int hosts) {
    long borrowed = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      PermitSimulation world = new PermitSimulation(seed, hosts, PermitSimulation.Mutation.NONE);
      int excess = world.run(TIME);
      assertTrue(excess <= 0, excess + " over the permits, seed " + seed);
      borrowed += world.borrowedStarts();
    }
    assertTrue(borrowed > 0, "no request began on a borrowed permit");
  }

  @DataProvider
  public Object[][] mutations() {
    return new Object[][] {
      {PermitSimulation.Mutation.COUNT_FROM_ARRIVAL},
      {PermitSimulation.Mutation.USE_SHARES_AT_ONCE},
      {PermitSimulation.Mutation.RETURN_WHAT_IS_KEPT},
    };
  }

  @Test(dataProvider = "mutations")
  public void checkNoticesARuleThatIsBroken(PermitSimulation.Mutation mutation) {
    int worst = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      worst = Math.max(worst, new PermitSimulation(seed, 3, mutation).run(TIME));
    }
    assertTrue(worst > 0, "not noticed");
  }
}
