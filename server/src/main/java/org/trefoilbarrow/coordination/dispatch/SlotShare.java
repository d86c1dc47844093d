package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import org.trefoilbarrow.state.fleet.BackendServer;

/** How many slots of each backend server a dispatcher may assign. */
@FunctionalInterface
public interface SlotShare {
  /**
   * All slots: the share of the dispatching host, and of a host without one, which does not count
   * the work of other hosts.
   */
  SlotShare ALL = BackendServer::slots;

  /** Returns the number of slots of a backend server that may be assigned. */
  int slotsOf(BackendServer backend);

  /** No slots: the share of a host that must not place its work without a dispatching host. */
  SlotShare NONE = backend -> 0;

  /**
   * Returns the share of the dispatching host. It is the part of the hosts that get their slots
   * from it, until all have reported their running work; and while fewer than half do, since the
   * others then place their work elsewhere.
   *
   * @param followers the number of other hosts that get their slots from the dispatching host
   * @param otherHosts the number of other hosts, live or not
   * @param reportsOverdue whether hosts that have not reported yet count as lost
   */
  static SlotShare ofDispatchingHost(int followers, int otherHosts, boolean reportsOverdue) {
    checkArgument(followers >= 0, "followers must not be negative: %s", followers);
    checkArgument(otherHosts >= 0, "otherHosts must not be negative: %s", otherHosts);
    boolean byMost = 2 * followers >= otherHosts;
    if (followers >= otherHosts || (reportsOverdue && byMost)) {
      return ALL;
    }
    double fraction = (followers + 1.0) / (otherHosts + 1);
    return backend -> (int) (backend.slots() * fraction);
  }
}
