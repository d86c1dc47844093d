package org.trefoilbarrow.protocol;

/**
 * The stored record of a host, which the host writes at each heartbeat.
 *
 * @param host the host
 * @param incarnation a number that increases with each start of the host
 * @param peerAddress the address for other hosts, as {@code IP:port}
 * @param callerAddress the address for callers, as {@code IP:port}
 * @param failureDomain the host's failure domain
 * @param leaving whether the host is shutting down
 * @param heartbeat the number of writes of this record by this incarnation
 */
public record HostStatus(
    HostId host,
    long incarnation,
    String peerAddress,
    String callerAddress,
    FailureDomainId failureDomain,
    boolean leaving,
    long heartbeat) {}
