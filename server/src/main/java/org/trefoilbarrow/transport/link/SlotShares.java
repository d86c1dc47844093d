package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementScope;
import org.trefoilbarrow.coordination.dispatch.SlotShare;
import org.trefoilbarrow.coordination.election.ElectionRules;
import org.trefoilbarrow.protocol.HostId;

/**
 * Sets which part of the slots and limits the dispatcher of this host may use. All hosts together
 * stay within the limits, and those with a dispatching host within the slots. A host without one
 * may use all slots for online work: the servers queue or reject what is too much. Used only on the
 * event loop's thread.
 */
final class SlotShares {
  private static final Duration REPORT_WINDOW = ElectionRules.DEFAULT.reportWindow();

  private final PeerAddress self;
  private final Dispatcher dispatcher;
  private final DispatchServer server;
  private final Set<HostId> callerHosts = new HashSet<>();
  private int otherHostCount;
  private long changedNanos;

  SlotShares(PeerAddress self, Dispatcher dispatcher, DispatchServer server) {
    this.self = checkNotNull(self, "self");
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.server = checkNotNull(server, "server");
  }

  /** Replaces the other hosts that are registered. */
  void setOtherHosts(Collection<PeerAddress> others) {
    otherHostCount = others.size();
    callerHosts.clear();
    others.stream()
        .filter(PeerAddress::servesCallers)
        .map(PeerAddress::host)
        .forEach(callerHosts::add);
  }

  /** Records when the dispatching host changed. */
  void onDispatchingHostChanged(DispatchingHost current, long nowNanos) {
    changedNanos = nowNanos;
    update(current, nowNanos);
  }

  /** Sets the shares after hosts or backend servers have changed, or time has passed. */
  void update(DispatchingHost current, long nowNanos) {
    if (current.isSelf()) {
      updateForAllHosts(nowNanos);
    } else if (current.host().isEmpty()) {
      updateForThisHost();
    }
  }

  /** The limits of hosts that get their slots elsewhere are used there. */
  private void updateForAllHosts(long nowNanos) {
    int count = Math.max(1, callerHosts.size());
    long followers = Math.max(1, Math.min(count, server.countFollowers(callerHosts)));
    dispatcher.setFraction(followers / (double) count);
    dispatcher.setScope(PlacementScope.ALL_HOSTS);
    dispatcher.setSlotShare(
        SlotShare.ofDispatchingHost(
            server.followerCount(),
            otherHostCount,
            nowNanos - changedNanos >= REPORT_WINDOW.toNanos()));
  }

  private void updateForThisHost() {
    if (!self.servesCallers()) {
      // Such a host has only work that must not start without the dispatching host.
      dispatcher.setSlotShare(SlotShare.NONE);
      return;
    }
    dispatcher.setFraction(1.0 / (callerHosts.size() + 1));
    dispatcher.setScope(PlacementScope.OWN_HOST);
    dispatcher.setSlotShare(SlotShare.ALL);
  }
}
