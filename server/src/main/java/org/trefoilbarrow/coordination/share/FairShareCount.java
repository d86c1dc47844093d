package org.trefoilbarrow.coordination.share;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import org.trefoilbarrow.protocol.HostId;

/** The part of all shares that each host should hold. */
public final class FairShareCount {
  private FairShareCount() {}

  /**
   * Returns the number of shares that a host should hold, so that the numbers of any two hosts
   * differ by at most one and add up to all shares, as far as the hosts agree on who is live.
   *
   * @param shareCount the number of shares
   * @param self the host
   * @param livePeers the other hosts thought live
   */
  public static int of(int shareCount, HostId self, Collection<HostId> livePeers) {
    checkArgument(shareCount > 0, "shareCount must be positive: %s", shareCount);
    int hosts = livePeers.size() + 1;
    long before =
        livePeers.stream().filter(peer -> peer.value().compareTo(self.value()) < 0).count();
    return shareCount / hosts + (before < shareCount % hosts ? 1 : 0);
  }
}
