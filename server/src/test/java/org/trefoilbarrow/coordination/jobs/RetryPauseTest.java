package org.trefoilbarrow.coordination.jobs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class RetryPauseTest {
  @DataProvider
  public Object[][] pauses() {
    return new Object[][] {
      {0, 200},
      {1, 200},
      {3, 200},
      {4, 400},
      {5, 800},
      {6, 1600},
      {7, 3200},
      {8, 3200},
      {Integer.MAX_VALUE, 3200}
    };
  }

  @Test(dataProvider = "pauses")
  public void after_growsWithTheRejectionsInARow(int rejections, long millis) {
    assertEquals(RetryPause.after(rejections).toMillis(), millis);
  }

  /** Items that no server has memory for were sent thousands of times a second, without an end. */
  @Test
  public void itemThatIsAlwaysRejectedIsSentLessThanOnceASecond() {
    long millis = 0;
    int sends = 0;
    while (millis < 60_000) {
      millis += RetryPause.after(sends++).toMillis();
    }
    assertTrue(sends < 60, "sends: " + sends);
  }
}
