package org.trefoilbarrow.coordination.drain;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class DrainScheduleTest {
  private static final long START = 7;
  private static final long MILLI = 1_000_000;

  @DataProvider
  public Object[][] steps() {
    return new Object[][] {
      // Limit in s, ms since the start; accepts requests, closes idle connections, is over.
      {8, 0, true, false, false},
      {8, 2599, true, false, false},
      {8, 2600, true, true, false},
      {8, 3999, true, true, false},
      // A request that came 6.8 s after the start was cut in the middle of its response.
      {8, 4000, false, true, false},
      {8, 6800, false, true, false},
      {8, 7499, false, true, false},
      {8, 7500, false, true, true},
      {2, 999, true, false, false},
      {2, 1000, false, false, false},
      {2, 1500, false, false, true},
      {0, 0, false, false, true},
    };
  }

  @Test(dataProvider = "steps")
  public void stepsFollowTheTimeSinceTheStart(
      int limitSeconds, long millis, boolean accepts, boolean closesIdle, boolean over) {
    DrainSchedule schedule = DrainSchedule.of(START, Duration.ofSeconds(limitSeconds));
    long now = START + millis * MILLI;
    assertEquals(schedule.acceptsRequests(now), accepts);
    assertEquals(schedule.closesIdleConnections(now), closesIdle);
    assertEquals(schedule.isOver(now), over);
  }
}
