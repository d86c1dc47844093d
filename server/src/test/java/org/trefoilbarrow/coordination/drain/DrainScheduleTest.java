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
      // Limit in s, ms since the start; closes idle connections, is over.
      {8, 0, false, false},
      {8, 2599, false, false},
      {8, 2600, true, false},
      {8, 7499, true, false},
      {8, 7500, true, true},
      {2, 1499, false, false},
      {2, 1500, false, true},
      {0, 0, false, true},
    };
  }

  @Test(dataProvider = "steps")
  public void stepsFollowTheTimeSinceTheStart(
      int limitSeconds, long millis, boolean closesIdle, boolean over) {
    DrainSchedule schedule = DrainSchedule.of(START, Duration.ofSeconds(limitSeconds));
    long now = START + millis * MILLI;
    assertEquals(schedule.closesIdleConnections(now), closesIdle);
    assertEquals(schedule.isOver(now), over);
  }

  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      // Limit in s, ms since the start, the longest time of the request in ms; is it accepted.
      {8, 0, 60_000, true},
      {8, 2599, 60_000, true},
      // Taken at 3.9 s, a request of 5 s was cut at the end of the shutdown.
      {8, 2600, 5000, false},
      {8, 3900, 5000, false},
      {8, 2600, 4900, true},
      {8, 2600, 4901, false},
      {8, 6000, 1500, true},
      // A request that came 6.8 s after the start was cut in the middle of its response.
      {8, 6800, 5000, false},
      {8, 6800, 701, false},
      {8, 7499, 1, true},
      {8, 7500, 1, false},
      {2, 999, 5000, true},
      {2, 1000, 501, false},
      {2, 1000, 500, true},
      {0, 0, 1, false},
    };
  }

  @Test(dataProvider = "requests")
  public void requestIsAcceptedOnlyIfItEndsInTime(
      int limitSeconds, long millis, long requestMillis, boolean accepted) {
    DrainSchedule schedule = DrainSchedule.of(START, Duration.ofSeconds(limitSeconds));
    long now = START + millis * MILLI;
    assertEquals(schedule.acceptsRequest(requestMillis * MILLI, now), accepted);
  }
}
