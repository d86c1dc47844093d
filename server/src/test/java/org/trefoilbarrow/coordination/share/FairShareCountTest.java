package org.trefoilbarrow.coordination.share;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.HostId;

public final class FairShareCountTest {
  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{12, 1}, {12, 3}, {12, 7}, {12, 9}, {12, 12}, {12, 20}, {7, 5}};
  }

  @Test(dataProvider = "fleets")
  public void of_dividesAllSharesEvenly(int shareCount, int hostCount) {
    List<HostId> hosts = new ArrayList<>();
    for (int i = 0; i < hostCount; i++) {
      hosts.add(HostId.of("host-" + i));
    }
    int sum = 0;
    for (HostId host : hosts) {
      List<HostId> peers = new ArrayList<>(hosts);
      peers.remove(host);
      int count = FairShareCount.of(shareCount, host, peers);
      assertTrue(count >= shareCount / hostCount, host + " holds " + count);
      assertTrue(count <= shareCount / hostCount + 1, host + " holds " + count);
      sum += count;
    }
    assertEquals(sum, shareCount);
  }
}
