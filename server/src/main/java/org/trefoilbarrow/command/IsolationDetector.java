package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.transport.platform.HttpPlatform;

/**
 * Decides whether this host is cut off: it hears neither the platform nor more than half of its
 * peers, so that it might serve a key that was withdrawn.
 *
 * <p>A host that never had a peer is not cut off by an outage of the platform: no other host can
 * have accepted a change that it does not know.
 */
final class IsolationDetector {
  private final Duration after;
  private final HttpPlatform platform;
  private final MembershipView membership;

  IsolationDetector(Duration after, HttpPlatform platform, MembershipView membership) {
    this.after = checkNotNull(after, "after");
    this.platform = checkNotNull(platform, "platform");
    this.membership = checkNotNull(membership, "membership");
  }

  boolean isIsolated(long nowNanos) {
    if (nowNanos - platform.lastResponseNanos() < after.toNanos()) {
      return false;
    }
    int peers = membership.listedCount();
    return peers > 0 && membership.countResponsiveWithin(after, nowNanos) * 2 <= peers;
  }
}
