package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.protocol.HostId;

/**
 * Identifies a demand.
 *
 * @param host the host that asks
 * @param call the host's own number of the call
 */
public record DemandId(HostId host, long call) {
  /** Checks the components. */
  public DemandId {
    checkNotNull(host, "host");
  }
}
