package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.protocol.HostId;

/**
 * Identifies a demand across all hosts.
 *
 * @param host the host that submitted the demand
 * @param call the number that the host gave to the call
 */
public record DemandId(HostId host, long call) {
  /** Checks that the host is present. */
  public DemandId {
    checkNotNull(host, "host");
  }
}
