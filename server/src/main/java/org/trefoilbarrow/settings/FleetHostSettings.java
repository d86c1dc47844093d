package org.trefoilbarrow.settings;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.jspecify.annotations.Nullable;

/**
 * The settings of a host that runs on the operators' platform and forwards requests or runs jobs.
 *
 * @param name the host's name, unique in the fleet
 * @param failureDomain the failure domain of the host
 * @param address the IP address on which the host listens
 * @param servesCallers whether the host serves callers; other hosts dispatch and run jobs
 * @param callerAddress the address for callers, as {@code IP:port}; null if the host serves none
 * @param readinessAddress the address of the readiness check, as {@code IP:port}; null if the host
 *     serves no callers
 * @param linkPort the TCP port for other hosts
 * @param metricsPort the TCP port for metrics, or 0 for none
 * @param platform the platform's address, as {@code IP:port}
 * @param platformCallsPerSecond the maximum rate of calls to the platform, in calls per second
 * @param maxObjectBytes the most bytes of one object at the platform; {@link
 *     #DEFAULT_MAX_OBJECT_BYTES} if absent
 * @param peerWatchHosts the number of registered hosts from which a host that serves callers
 *     watches the platform through the other hosts; {@link #DEFAULT_PEER_WATCH_HOSTS} if absent
 * @param shutdownSeconds how long the host may take to stop, in seconds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record FleetHostSettings(
    String name,
    String failureDomain,
    String address,
    boolean servesCallers,
    @Nullable String callerAddress,
    @Nullable String readinessAddress,
    int linkPort,
    int metricsPort,
    String platform,
    double platformCallsPerSecond,
    int maxObjectBytes,
    int peerWatchHosts,
    double shutdownSeconds) {
  /** The most bytes of one object at a platform whose limit is not set. */
  public static final int DEFAULT_MAX_OBJECT_BYTES = 1 << 20;

  /** Below this size, the calls of all hosts' own watches are few. */
  public static final int DEFAULT_PEER_WATCH_HOSTS = 16;

  /** Sets the defaults of absent settings. */
  public FleetHostSettings {
    maxObjectBytes = maxObjectBytes == 0 ? DEFAULT_MAX_OBJECT_BYTES : maxObjectBytes;
    peerWatchHosts = peerWatchHosts == 0 ? DEFAULT_PEER_WATCH_HOSTS : peerWatchHosts;
  }
}
