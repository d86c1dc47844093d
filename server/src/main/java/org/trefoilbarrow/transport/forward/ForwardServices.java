package org.trefoilbarrow.transport.forward;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.memory.BufferBudget;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.metrics.FleetMetrics;

/**
 * The services that all forwarded requests and batch items of a host share.
 *
 * @param loop the event loop on which all of them are used
 * @param domain the failure domain of this host
 * @param fleet the cached state of the fleet
 * @param placements requests slots at backend servers
 * @param connections the pool of connections to backend servers
 * @param serverEnds reports backend servers that ended before they began to answer
 * @param buffers bounds the memory of the responses in progress
 * @param dialect the HTTP conventions of callers and backend servers
 * @param log the event log
 * @param metrics the counters and histograms
 * @param nanoClock the monotonic clock
 */
public record ForwardServices(
    EventLoop loop,
    FailureDomainId domain,
    FleetView fleet,
    PlacementClient placements,
    BackendConnections connections,
    ServerEndDetector serverEnds,
    BufferBudget<ResponseBuffer> buffers,
    HttpDialect dialect,
    EventLog log,
    FleetMetrics metrics,
    LongSupplier nanoClock) {

  /** Records how much a response takes, and gives up responses that take too much. */
  public void hold(ResponseBuffer response, long bytes) {
    buffers.hold(response, bytes).forEach(ResponseBuffer::giveUp);
  }
}
