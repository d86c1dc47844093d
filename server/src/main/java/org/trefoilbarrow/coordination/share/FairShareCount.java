package org.trefoilbarrow.coordination.share;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import org.trefoilbarrow.protocol.HostId;

/** The number of shares that each host should hold. */
public final class FairShareCount {
  private FairShareCount() {}

  /**
   * Returns the number of shares that a host should hold. If the hosts agree on which hosts are
   * live, the numbers differ by at most one and add up to all shares.
   *
   * @param shareCount the number of shares
   * @param self this host
   * @param livePeers the other hosts that are assumed live
   */
  public static int of(int shareCount, HostId self, Collection<HostId> livePeers) {
    checkArgument(shareCount > 0, "shareCount must be positive: %s", shareCount);
    int hosts = livePeers.size() + 1;
    long smallerHosts =
        livePeers.stream().filter(peer -> peer.value().compareTo(self.value()) < 0).count();
    return shareCount / hosts + (smallerHosts < shareCount % hosts ? 1 : 0);
  }
}
