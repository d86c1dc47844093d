package org.trefoilbarrow.transport.forward;

import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.metrics.FleetMetrics;

/**
 * What forwarded calls share.
 *
 * @param loop the event loop
 * @param fleet what the host knows of the fleet
 * @param placements where places come from
 * @param connections the connections to backend servers
 * @param dialect how callers and backend servers speak
 * @param log the log of decisions
 * @param metrics the counters and histograms
 * @param nanoClock the monotonic clock
 */
public record ForwardServices(
    EventLoop loop,
    FleetView fleet,
    PlacementClient placements,
    BackendConnections connections,
    HttpDialect dialect,
    EventLog log,
    FleetMetrics metrics,
    LongSupplier nanoClock) {}
