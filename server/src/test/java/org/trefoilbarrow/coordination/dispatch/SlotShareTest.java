package org.trefoilbarrow.coordination.dispatch;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.state.fleet.BackendServer;

public final class SlotShareTest {
  private static final int OTHER_HOSTS = 9;

  private static BackendServer backend(int slots) {
    return new BackendServer(
        BackendServerId.of("a"), "s", "10.0.0.1", 80, FailureDomainId.of("d"), slots, true, 0);
  }

  @DataProvider
  public Object[][] followers() {
    return new Object[][] {
      {0, false, 1},
      {0, true, 1},
      {4, true, 5},
      {5, false, 6},
      {5, true, 10},
      {8, false, 9},
      {9, false, 10},
    };
  }

  /** Guards against slots assigned twice: by a dispatching host that some hosts do not follow. */
  @Test(dataProvider = "followers")
  public void dispatchingHostAssignsThePartOfItsFollowers(
      int followers, boolean reportsOverdue, int tenths) {
    SlotShare share = SlotShare.ofDispatchingHost(followers, OTHER_HOSTS, reportsOverdue);
    assertEquals(share.slotsOf(backend(10)), tenths);
  }

  @DataProvider
  public Object[][] slotCounts() {
    return new Object[][] {{1}, {8}, {Integer.MAX_VALUE}};
  }

  /** Guards against requests that are refused for want of a dispatching host. */
  @Test(dataProvider = "slotCounts")
  public void hostWithoutADispatchingHostUsesAllSlots(int slots) {
    assertEquals(SlotShare.ALL.slotsOf(backend(slots)), slots);
    assertEquals(SlotShare.NONE.slotsOf(backend(slots)), 0);
  }
}
