package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.protocol.HostId;

/**
 * A host as the platform lists it.
 *
 * @param host the host
 * @param address its IP address
 * @param port its port for links
 * @param servesCallers whether callers reach it; the others dispatch and run jobs
 * @param startedMillis when its process started, by its own clock
 */
public record PeerAddress(
    HostId host, String address, int port, boolean servesCallers, long startedMillis) {
  /** Checks the components. */
  public PeerAddress {
    checkNotNull(host, "host");
    checkNotNull(address, "address");
  }
}
