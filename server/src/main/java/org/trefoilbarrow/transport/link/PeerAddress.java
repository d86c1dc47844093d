package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Strings;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.protocol.HostId;

/**
 * The address and role of a host, as registered at the platform.
 *
 * @param host the host
 * @param address its IP address
 * @param port the port on which it accepts links
 * @param servesCallers whether it serves callers; other hosts dispatch and run jobs
 * @param failureDomain its failure domain; empty if unknown
 * @param startedMillis when its process started, by its own clock, in ms since the epoch
 */
public record PeerAddress(
    HostId host,
    String address,
    int port,
    boolean servesCallers,
    @Nullable String failureDomain,
    long startedMillis) {
  /** Checks the components. */
  public PeerAddress {
    checkNotNull(host, "host");
    checkNotNull(address, "address");
    failureDomain = Strings.nullToEmpty(failureDomain);
  }
}
