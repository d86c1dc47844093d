package org.trefoilbarrow.command;

import ch.qos.logback.classic.spi.ILoggingEvent;
import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.ConsoleAppenderFactory;
import io.dropwizard.logging.common.DefaultLoggingFactory;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import java.util.Locale;
import org.trefoilbarrow.settings.LimitsSettings;
import org.trefoilbarrow.settings.Settings;

/** The configuration of the web server, derived from a host's settings. */
final class ServerConfiguration extends Configuration {
  private static final int METRICS_THREADS = 16;
  private static final int MIN_THREADS = 16;
  private static final String LOG_FORMAT = "%d{ISO8601,UTC} %-5level %msg%n%ex";

  private ServerConfiguration() {}

  /** Returns the configuration for the given settings. */
  static ServerConfiguration of(Settings settings) {
    ServerConfiguration configuration = new ServerConfiguration();
    configuration.setServerFactory(server(settings));
    configuration.setLoggingFactory(logging(settings));
    return configuration;
  }

  private static DefaultServerFactory server(Settings settings) {
    LimitsSettings limits = settings.limits();
    HttpConnectorFactory callers = new LimitedConnectorFactory(limits.maxConnections());
    callers.setBindHost(settings.host().address());
    callers.setPort(settings.host().callerPort());
    callers.setMaxRequestHeaderSize(DataSize.bytes(limits.maxHeaderBytes()));
    callers.setIdleTimeout(Duration.milliseconds(limits.idleTimeoutMillis()));
    callers.setMinRequestDataPerSecond(DataSize.bytes(limits.minRequestBytesPerSecond()));
    DefaultServerFactory server = new DefaultServerFactory();
    server.setApplicationConnectors(ImmutableList.of(callers));
    server.setAdminConnectors(
        ImmutableList.of(connector(settings.host().address(), settings.host().metricsPort())));
    server.setMaxThreads(limits.maxThreads() + METRICS_THREADS);
    server.setMinThreads(MIN_THREADS);
    server.setAdminMaxThreads(METRICS_THREADS);
    server.setAdminMinThreads(1);
    server.setRegisterDefaultExceptionMappers(false);
    server.setEnableThreadNameFilter(false);
    LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
    requestLog.setAppenders(ImmutableList.of());
    server.setRequestLogFactory(requestLog);
    return server;
  }

  private static HttpConnectorFactory connector(String address, int port) {
    HttpConnectorFactory connector = new HttpConnectorFactory();
    connector.setBindHost(address);
    connector.setPort(port);
    return connector;
  }

  private static DefaultLoggingFactory logging(Settings settings) {
    ConsoleAppenderFactory<ILoggingEvent> console = new ConsoleAppenderFactory<>();
    console.setLogFormat(LOG_FORMAT);
    DefaultLoggingFactory logging = new DefaultLoggingFactory();
    logging.setLevel("WARN");
    logging.setLoggers(
        ImmutableMap.of(
            "org.trefoilbarrow",
            TextNode.valueOf(settings.logging().level().toUpperCase(Locale.ROOT))));
    logging.setAppenders(ImmutableList.of(console));
    return logging;
  }
}
