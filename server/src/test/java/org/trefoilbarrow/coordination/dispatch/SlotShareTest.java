package org.trefoilbarrow.coordination.dispatch;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.state.fleet.BackendServer;

public final class SlotShareTest {
  private static final int HOST_COUNT = 3;

  private static BackendServer backend(String id, int slots) {
    return new BackendServer(
        BackendServerId.of(id), "s", "10.0.0.1", 80, FailureDomainId.of("d"), slots, true, 0);
  }

  @DataProvider
  public Object[][] slotCounts() {
    return new Object[][] {
      {4, 5, 6},
      {Integer.MAX_VALUE, Integer.MAX_VALUE, 3},
      {Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE}
    };
  }

  @Test(dataProvider = "slotCounts")
  public void ofOneHost_sharesOfAllHostsAreTheSlotsOfEachServer(int first, int second, int third) {
    ImmutableList<BackendServer> backends =
        ImmutableList.of(backend("a", first), backend("b", second), backend("c", third));
    for (BackendServer backend : backends) {
      long dealt = 0;
      for (int index = 0; index < HOST_COUNT; index++) {
        dealt += SlotShare.ofOneHost(backends, index, HOST_COUNT).slotsOf(backend);
      }
      assertEquals(dealt, backend.slots(), "slots dealt of " + backend);
    }
  }
}
