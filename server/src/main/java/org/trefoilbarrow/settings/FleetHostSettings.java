package org.trefoilbarrow.settings;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.jspecify.annotations.Nullable;

/**
 * The settings of a host that forwards requests or runs jobs on the operators' own platform.
 *
 * @param name the host's name, unique in the fleet
 * @param failureDomain the failure domain that the host stands in
 * @param address the IP address on which the host listens
 * @param servesCallers whether callers reach the host; the others dispatch and run jobs
 * @param callerAddress where callers reach the host, as {@code IP:port}; null where none do
 * @param readinessAddress where the host is asked if it may get connections; null where it is not
 * @param linkPort the TCP port for other hosts
 * @param metricsPort the TCP port that serves metrics; 0 serves none
 * @param platform the platform's address, as {@code IP:port}
 * @param platformCallsPerSecond the calls a second that this host may make at most
 * @param shutdownSeconds how long the host may take to end after it was told to
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
    double shutdownSeconds) {}
