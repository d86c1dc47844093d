package org.trefoilbarrow.transport.http;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.trefoilbarrow.coordination.backend.BackendReport;

/**
 * The status report of a host.
 *
 * @param host the host's name
 * @param incarnation the host's incarnation
 * @param healthy whether the balancer should send callers to the host
 * @param configurationRevision the revision up to which the host knows the configuration
 * @param entities the number of configuration entities
 * @param sharesUsable the indexes of the shares that the host may use
 * @param sharesInAll the number of shares
 * @param livePeers the peers that are assumed live
 * @param requestsInProgress the requests in progress
 * @param batchSegments the batch segments that the host runs
 * @param batchItems the batch items in progress
 * @param lateJobs the batch jobs monitored by this host that will miss their due time
 * @param ownedResources the resources whose tokens the host lends
 * @param platformCalls calls to the platform since the start
 * @param peerMessages messages to peers since the start
 * @param peerBytes bytes sent to and received from peers in those messages
 * @param boundViolations how often a token pool held more than its capacity; must be 0
 * @param backends the backend servers
 * @param organisations the organisations served since the start
 */
public record HostReport(
    String host,
    long incarnation,
    boolean healthy,
    long configurationRevision,
    int entities,
    List<Integer> sharesUsable,
    int sharesInAll,
    List<String> livePeers,
    int requestsInProgress,
    int batchSegments,
    int batchItems,
    Collection<String> lateJobs,
    int ownedResources,
    long platformCalls,
    long peerMessages,
    long peerBytes,
    long boundViolations,
    List<BackendReport> backends,
    Map<String, OrganisationMetrics.Summary> organisations) {}
