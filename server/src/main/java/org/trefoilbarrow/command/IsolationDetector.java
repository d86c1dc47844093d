package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.transport.platform.HttpPlatform;

/**
 * Detects whether this host is isolated: it has received nothing for a time from the platform, nor
 * from more than half of its peers, so that it might accept a key that was withdrawn.
 *
 * <p>A host that never had a peer is not isolated by an outage of the platform: no other host can
 * have accepted a change that it does not know.
 */
final class IsolationDetector {
  private final Duration timeout;
  private final HttpPlatform platform;
  private final MembershipView membership;

  IsolationDetector(Duration timeout, HttpPlatform platform, MembershipView membership) {
    this.timeout = checkNotNull(timeout, "timeout");
    this.platform = checkNotNull(platform, "platform");
    this.membership = checkNotNull(membership, "membership");
  }

  boolean isIsolated(long nowNanos) {
    if (nowNanos - platform.lastResponseNanos() < timeout.toNanos()) {
      return false;
    }
    int peerCount = membership.listedCount();
    return peerCount > 0 && membership.countResponsiveWithin(timeout, nowNanos) * 2 <= peerCount;
  }
}
