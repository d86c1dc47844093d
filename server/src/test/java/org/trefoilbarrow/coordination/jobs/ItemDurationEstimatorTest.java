package org.trefoilbarrow.coordination.jobs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class ItemDurationEstimatorTest {
  private static final long SECOND = 1_000_000_000L;

  @DataProvider
  public Object[][] runs() {
    return new Object[][] {{0L, 5 * SECOND}, {2 * SECOND, 3 * SECOND}, {9 * SECOND, SECOND}};
  }

  @Test(dataProvider = "runs")
  public void expectedRemainingNanos_isTheMeanLessTheRunTimeWithALowerBound(
      long ran, long remaining) {
    assertEquals(
        new ItemDurationEstimator(Duration.ofSeconds(5)).expectedRemainingNanos(ran), remaining);
  }

  @Test
  public void record_movesTheMeanToTheMeasuredTimes() {
    ItemDurationEstimator estimator = new ItemDurationEstimator(Duration.ofSeconds(1));
    for (int item = 0; item < 100; item++) {
      estimator.record(8 * SECOND);
    }
    long remaining = estimator.expectedRemainingNanos(0);
    assertTrue(remaining > 7 * SECOND && remaining <= 8 * SECOND, "remaining " + remaining);
  }
}
