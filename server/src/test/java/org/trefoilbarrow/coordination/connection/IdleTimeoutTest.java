package org.trefoilbarrow.coordination.connection;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class IdleTimeoutTest {

  /** Each line: the time, the configured timeout and the one that applies, in milliseconds. */
  @DataProvider
  public Object[][] changes() {
    return new Object[][] {
      {new long[][] {{0, 9000, 9000}, {100, 9000, 9000}}},
      {new long[][] {{0, 3000, 3000}, {100, 9000, 9000}}},
      {new long[][] {{0, 9000, 9000}, {100, 3000, 9000}, {5099, 3000, 9000}, {5100, 3000, 3000}}},
      {new long[][] {{0, 9000, 9000}, {100, 3000, 9000}, {200, 9000, 9000}, {6000, 9000, 9000}}},
      {new long[][] {{0, 9000, 9000}, {100, 3000, 9000}, {4000, 2000, 9000}, {9000, 2000, 2000}}}
    };
  }

  @Test(dataProvider = "changes")
  public void shorterTimeoutAppliesOnlyWhenCallersCanKnowIt(long[][] lines) {
    IdleTimeout timeout = new IdleTimeout();
    for (long[] line : lines) {
      long nowNanos = Duration.ofMillis(line[0]).toNanos();
      assertEquals(timeout.update(line[1], nowNanos), line[2], "at " + line[0] + " ms");
    }
  }
}
