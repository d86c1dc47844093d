package org.trefoilbarrow.settings;

/**
 * The settings of a host.
 *
 * @param host the names and addresses of the host
 * @param platform the connection to the platform
 * @param peers the communication with other hosts
 * @param operators the keys of the operators
 * @param limits the limits for the requests and connections of callers
 * @param shares the parameters of shares, delegations and loans; must be the same on all hosts
 * @param backends the handling of backend servers
 * @param batch the processing of batch jobs
 * @param isolation the rule by which an isolated host stops serving callers
 * @param logging the settings of the log
 */
public record Settings(
    HostSettings host,
    PlatformSettings platform,
    PeersSettings peers,
    OperatorsSettings operators,
    LimitsSettings limits,
    SharesSettings shares,
    BackendsSettings backends,
    BatchSettings batch,
    IsolationSettings isolation,
    LoggingSettings logging) {}
