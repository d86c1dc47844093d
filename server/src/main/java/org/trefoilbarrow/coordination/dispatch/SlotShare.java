package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.state.fleet.BackendServer;

/** How many slots of each backend server a dispatcher may assign. */
@FunctionalInterface
public interface SlotShare {
  /** All slots: the share of the dispatching host. */
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

  /**
   * Returns the share of one of several hosts that dispatch for themselves. The slots of a service
   * are dealt out one by one, so that all shares together are the slots of the service. A host gets
   * at least one slot of each service, even if there are more hosts than slots.
   *
   * @param backends the backend servers that all hosts know
   * @param index the index of the host among the hosts, from 0
   * @param hostCount the number of hosts
   */
  static SlotShare ofOneHost(Collection<BackendServer> backends, int index, int hostCount) {
    checkArgument(
        index >= 0 && index < hostCount, "index must be from 0 to %s: %s", hostCount - 1, index);
    Map<BackendServerId, Integer> slots = new HashMap<>();
    Map<String, Long> dealt = new HashMap<>();
    for (BackendServer backend : sorted(backends)) {
      long first =
          dealt.merge(backend.service(), (long) backend.slots(), Long::sum) - backend.slots();
      slots.put(backend.id(), countDealt(first, backend.slots(), index, hostCount));
    }
    dealt.forEach(
        (service, count) -> {
          if (index >= count && count > 0) {
            slots.put(serverOfSlot(backends, service, index % count), 1);
          }
        });
    return backend -> slots.getOrDefault(backend.id(), 0);
  }

  private static ImmutableList<BackendServer> sorted(Collection<BackendServer> backends) {
    return ImmutableList.sortedCopyOf(
        Comparator.comparing((BackendServer backend) -> backend.id().value()), backends);
  }

  /** Counts the numbers from {@code first} on, {@code count} of them, dealt to one host. */
  private static int countDealt(long first, int count, int index, int hostCount) {
    int offset = Math.floorMod(index - first, hostCount);
    return offset >= count ? 0 : (count - offset - 1) / hostCount + 1;
  }

  private static BackendServerId serverOfSlot(
      Collection<BackendServer> backends, String service, long slot) {
    long first = 0;
    for (BackendServer backend : sorted(backends)) {
      if (backend.service().equals(service)) {
        first += backend.slots();
        if (slot < first) {
          return backend.id();
        }
      }
    }
    throw new IllegalArgumentException("slot must be below " + first + ": " + slot);
  }
}
