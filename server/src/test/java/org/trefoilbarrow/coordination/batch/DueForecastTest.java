package org.trefoilbarrow.coordination.batch;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.FileId;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.JobState;
import org.trefoilbarrow.protocol.OrganisationId;

public final class DueForecastTest {
  private static final int ITEMS = 1000;
  private static final long CREATED = 5000;
  private static final long DUE = CREATED + 1000;

  private static final JobManifest JOB =
      new JobManifest(
          JobId.of("job"),
          OrganisationId.of("workshop"),
          FileId.of("file"),
          "digest",
          CREATED,
          DUE,
          ImmutableList.of(ITEMS),
          3,
          JobState.IN_PROGRESS,
          0);

  @DataProvider
  public Object[][] jobs() {
    return new Object[][] {
      {"nothing done yet, early", 0, 100, OptionalLong.empty(), false},
      {"nothing done, past the grace time", 0, 101, OptionalLong.empty(), true},
      {"twice as fast as needed", 200, 100, OptionalLong.of(CREATED + 500), false},
      {"just as fast as needed", 100, 100, OptionalLong.of(DUE), false},
      {"too slow", 99, 100, OptionalLong.of(CREATED + 1011), true},
      {"all done in time", ITEMS, 600, OptionalLong.of(CREATED + 600), false},
      {"past the due time", 999, 1002, OptionalLong.of(CREATED + 1004), true},
    };
  }

  @Test(dataProvider = "jobs")
  public void of_isLateIfTheJobWillEndAfterItsDueTime(
      String name, int done, long elapsed, OptionalLong end, boolean late) {
    DueForecast forecast = DueForecast.of(JOB, done, CREATED + elapsed);
    assertEquals(forecast.expectedEndSeconds(), end, name);
    assertEquals(forecast.isLate(), late, name);
  }
}
