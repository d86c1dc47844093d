package org.trefoilbarrow.command;

import com.codahale.metrics.MetricRegistry;
import io.dropwizard.jetty.HttpConnectorFactory;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.ThreadPool;

/** Builds a connector that limits the number of open connections. */
final class LimitedConnectorFactory extends HttpConnectorFactory {
  private final int maxConnections;

  LimitedConnectorFactory(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  @Override
  public Connector build(
      Server server, MetricRegistry metrics, String name, ThreadPool threadPool) {
    // The connection of a caller is refused, rather than kept waiting, before the host is ready.
    server.setOpenEarly(false);
    Connector connector = super.build(server, metrics, name, threadPool);
    // Listeners can only be added before the connector starts.
    ((ServerConnector) connector).addBean(new NetworkConnectionLimit(maxConnections, connector));
    return connector;
  }
}
