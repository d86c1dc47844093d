package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheck;
import com.google.common.flogger.FluentLogger;
import com.google.inject.AbstractModule;
import com.google.inject.Injector;
import com.google.inject.Provides;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import jakarta.inject.Singleton;
import jakarta.servlet.DispatcherType;
import java.util.EnumSet;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Server;
import org.glassfish.jersey.server.ServerProperties;
import org.trefoilbarrow.coordination.backend.PermitScheduler;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.share.HeldShare;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.settings.Settings;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.transport.batch.BatchRunner;
import org.trefoilbarrow.transport.batch.LateJobMonitor;
import org.trefoilbarrow.transport.http.ActiveRequests;
import org.trefoilbarrow.transport.http.AdministrationResource;
import org.trefoilbarrow.transport.http.BatchesResource;
import org.trefoilbarrow.transport.http.ChatResource;
import org.trefoilbarrow.transport.http.ErrorResponseMapper;
import org.trefoilbarrow.transport.http.FilesResource;
import org.trefoilbarrow.transport.http.HostReport;
import org.trefoilbarrow.transport.http.HostServingState;
import org.trefoilbarrow.transport.http.ModelsResource;
import org.trefoilbarrow.transport.http.OrganisationMetrics;
import org.trefoilbarrow.transport.http.RequestIdFilter;
import org.trefoilbarrow.transport.http.ServicesResource;
import org.trefoilbarrow.transport.http.StatusResource;
import org.trefoilbarrow.transport.peer.PeerDirectory;
import org.trefoilbarrow.transport.peer.TokenService;
import org.trefoilbarrow.transport.platform.HttpPlatform;
import ru.vyarus.dropwizard.guice.GuiceBundle;
import ru.vyarus.dropwizard.guice.module.support.DropwizardAwareModule;

/** The Dropwizard application of a host that runs with {@code serve}. */
final class ServerApplication extends Application<ServerConfiguration> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Settings settings;
  private final HostIdentity identity;
  private GuiceBundle guice;

  ServerApplication(Settings settings, HostIdentity identity) {
    this.settings = checkNotNull(settings, "settings");
    this.identity = checkNotNull(identity, "identity");
  }

  /** Binds the objects that the web server provides. */
  private static final class EnvironmentModule extends DropwizardAwareModule<ServerConfiguration> {
    @Override
    protected void configure() {
      bind(MetricRegistry.class).toInstance(environment().metrics());
    }
  }

  @Override
  public String getName() {
    return "trefoilbarrow";
  }

  @Override
  public void initialize(Bootstrap<ServerConfiguration> bootstrap) {
    ServerConfiguration configuration = ServerConfiguration.of(settings);
    bootstrap.setConfigurationFactoryFactory(
        (type, validator, mapper, prefix) -> fixedFactory(configuration));
    guice =
        GuiceBundle.builder()
            .modules(
                new HostModule(settings, identity),
                new BackendModule(settings, identity),
                new BatchModule(settings, identity),
                new EnvironmentModule(),
                new ReportModule())
            .extensions(
                ChatResource.class,
                ModelsResource.class,
                ServicesResource.class,
                FilesResource.class,
                BatchesResource.class,
                AdministrationResource.class,
                StatusResource.class,
                RequestIdFilter.class,
                ErrorResponseMapper.class,
                HostLifecycle.class)
            .build();
    bootstrap.addBundle(guice);
  }

  @Override
  public void run(ServerConfiguration configuration, Environment environment) {
    Injector injector = guice.getInjector();
    environment
        .servlets()
        .addFilter("active-requests", injector.getInstance(ActiveRequests.class))
        .addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), false, "/*");
    // Without a buffer each part of a stream is sent at once, not only when 8 KiB are full.
    environment.jersey().property(ServerProperties.OUTBOUND_CONTENT_LENGTH_BUFFER, 0);
    HostServingState servingState = injector.getInstance(HostServingState.class);
    environment
        .healthChecks()
        .register(
            "host",
            new HealthCheck() {
              @Override
              protected Result check() {
                return servingState.isHealthy()
                    ? Result.healthy()
                    : Result.unhealthy("not ready, leaving, isolated or without usable shares");
              }
            });
    environment.lifecycle().addServerLifecycleListener(server -> onStarted(server, injector));
  }

  private void onStarted(Server server, Injector injector) {
    // One shutdown hook first makes the host leave the fleet, and then stops the web server.
    server.setStopAtShutdown(false);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(server, injector), "shutdown"));
  }

  private void shutDown(Server server, Injector injector) {
    try {
      injector.getInstance(HostLifecycle.class).leave();
      server.stop();
    } catch (Exception e) {
      logger.atSevere().withCause(e).log(
          "host: the shutdown failed; the process exits without completing it");
    }
  }

  private static ConfigurationFactory<ServerConfiguration> fixedFactory(
      ServerConfiguration configuration) {
    return new ConfigurationFactory<>() {
      @Override
      public ServerConfiguration build(ConfigurationSourceProvider provider, String path) {
        return configuration;
      }

      @Override
      public ServerConfiguration build() {
        return configuration;
      }
    };
  }

  /** Binds the supplier of the status report. */
  private static final class ReportModule extends AbstractModule {
    @Provides
    @Singleton
    Supplier<HostReport> report(
        HostIdentity identity,
        HostServingState servingState,
        ConfigurationTable configuration,
        ShareLeases shares,
        MembershipView membership,
        ActiveRequests activeRequests,
        BatchRunner batch,
        LateJobMonitor lateJobs,
        TokenService tokens,
        HttpPlatform platform,
        PeerDirectory directory,
        PermitScheduler scheduler,
        OrganisationMetrics metrics) {
      return () -> {
        long now = System.nanoTime();
        Map<String, OrganisationMetrics.Summary> organisations = new TreeMap<>();
        metrics.all().forEach((name, counts) -> organisations.put(name.value(), counts.summary()));
        return new HostReport(
            identity.host().value(),
            identity.incarnation(),
            servingState.isHealthy(),
            configuration.revision(),
            configuration.size(),
            shares.usable(now).stream().map(HeldShare::index).toList(),
            shares.count(),
            membership.livePeers(now).stream()
                .map(HostStatus::host)
                .map(Object::toString)
                .sorted()
                .toList(),
            activeRequests.count(),
            batch.runningSegments(),
            batch.runningItems(),
            lateJobs.late(),
            tokens.ownedResources(),
            platform.calls(),
            directory.messages(),
            directory.bytes(),
            tokens.boundViolations(),
            scheduler.report(now),
            organisations);
      };
    }
  }
}
