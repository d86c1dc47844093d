package org.trefoilbarrow.settings;

import org.jspecify.annotations.Nullable;

/**
 * The names and addresses of a host.
 *
 * @param name the host's name, unique in the fleet
 * @param failureDomain the failure domain of the host
 * @param address the IP address on which the host listens
 * @param callerPort the TCP port for callers and operators
 * @param metricsPort the TCP port for health checks and metrics
 * @param peerPort the TCP port for other hosts
 * @param advertisedPeerAddress the address that is announced to other hosts, as {@code IP:port};
 *     null if it is {@code address} and {@code peerPort}
 */
public record HostSettings(
    String name,
    String failureDomain,
    String address,
    int callerPort,
    int metricsPort,
    int peerPort,
    @Nullable String advertisedPeerAddress) {

  /** Returns the address at which other hosts reach this host, as {@code IP:port}. */
  public String peerAddress() {
    return advertisedPeerAddress != null ? advertisedPeerAddress : address + ":" + peerPort;
  }

  /** Returns the address at which callers reach this host, as {@code IP:port}. */
  public String callerAddress() {
    return address + ":" + callerPort;
  }
}
