package org.trefoilbarrow.transport.link;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.coordination.dispatch.WorkProfile;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.protocol.WorkSize;

/** Guards against attributes of demands that are lost between hosts. */
public final class DemandMessagesTest {
  private static final long MILLI = 1_000_000;

  @DataProvider
  public Object[][] profiles() {
    return new Object[][] {
      {WorkProfile.UNKNOWN},
      {
        new WorkProfile(
            "r",
            Optional.of(FailureDomainId.of("d")),
            new WorkSize(450, 19),
            70 * MILLI,
            ImmutableList.of(200),
            Optional.of(OrganisationId.of("o")))
      },
    };
  }

  @Test(dataProvider = "profiles")
  public void profileOfADemandArrives(WorkProfile profile) {
    DemandSpec spec =
        new DemandSpec(
            "s",
            Optional.empty(),
            0,
            true,
            0,
            0,
            false,
            ImmutableSet.of(),
            "request",
            ImmutableList.of(PromptPartId.of("a1")),
            profile);
    assertEquals(
        DemandMessages.toDemand(HostId.of("h"), DemandMessages.of(1, spec, Optional.empty(), 0), 0)
            .profile(),
        profile);
  }

  @DataProvider
  public Object[][] reports() {
    return new Object[][] {
      {RunReport.NONE}, {new RunReport(true, OptionalLong.of(12 * MILLI), 19)},
    };
  }

  @Test(dataProvider = "reports")
  public void reportOfARunArrives(RunReport report) {
    assertEquals(
        DemandMessages.toReport(DemandMessages.finished(1, PlacementResult.ANSWERED, report)),
        report);
  }
}
