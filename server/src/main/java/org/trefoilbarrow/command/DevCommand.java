package org.trefoilbarrow.command;

import com.google.common.collect.ImmutableList;
import com.google.common.io.Resources;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.trefoilbarrow.operators.BackendServerSpec;
import org.trefoilbarrow.operators.ConfigurationEntity;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.FailureDomainSpec;
import org.trefoilbarrow.operators.FleetConfiguration;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.settings.Settings;
import org.trefoilbarrow.settings.SettingsLoader;
import org.trefoilbarrow.standins.EngineProfile;
import org.trefoilbarrow.standins.EngineStandIn;
import org.trefoilbarrow.standins.PlatformStandIn;

/** {@code dev}: runs an in-memory platform, an echoing model engine and a host in one process. */
final class DevCommand implements Command {
  private static final String MODEL = "echo-small";
  private static final String OPERATOR_KEY = "dev-operator";
  private static final String CALLER_KEY = "dev-caller";
  private static final int DEFAULT_PORT = 8080;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Integer> port =
      parser
          .accepts("port", "the port for callers; the next two are used as well")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(DEFAULT_PORT);

  @Override
  public String summary() {
    return "run one host with an in-memory platform and an echoing model engine";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream output)
      throws IOException, InterruptedException {
    Arguments.atMost(options, 0);
    int callerPort = options.valueOf(port);
    try (PlatformStandIn platform = PlatformStandIn.start(0);
        EngineStandIn engine =
            EngineStandIn.start(0, EngineProfile.echo(ImmutableList.of(MODEL)))) {
      ServeCommand.start(settings(callerPort, platform.address()));
      String address = "http://127.0.0.1:" + callerPort;
      configure(address, engine.address());
      output.printf(
          "A host serves at %s.%n"
              + "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' "
              + "-d '{\"model\":\"%s\",\"stream\":true,"
              + "\"messages\":[{\"role\":\"user\",\"content\":\"hello there\"}]}'%n"
              + "TREFOILBARROW_OPERATOR_KEY=%s trefoilbarrow status --host %s%n",
          address, address, CALLER_KEY, MODEL, OPERATOR_KEY, address);
      Thread.currentThread().join();
    }
    return ExitCode.OK;
  }

  private static Settings settings(int callerPort, String platform) throws IOException {
    String text =
        Resources.toString(
            Resources.getResource(DevCommand.class, "dev-settings.json"), StandardCharsets.UTF_8);
    return SettingsLoader.parse(
        "dev",
        text.replace("$CALLER_PORT", Integer.toString(callerPort))
            .replace("$METRICS_PORT", Integer.toString(callerPort + 1))
            .replace("$PEER_PORT", Integer.toString(callerPort + 2))
            .replace("$PLATFORM", platform)
            .replace("$OPERATOR_DIGEST", Digests.digest(OPERATOR_KEY)));
  }

  private static void configure(String address, String engine) {
    FleetConfiguration configuration =
        FleetConfiguration.builder()
            .add("dev", new FailureDomainSpec("dev", true))
            .add(
                "engine",
                new BackendServerSpec(engine, "dev", ImmutableList.of(MODEL), 64, 64, false))
            .add("dev", OrganisationSpec.of(100, 200))
            .add("dev", new KeySpec("dev", Digests.digest(CALLER_KEY), false))
            .add(MODEL, RouteSpec.model(MODEL))
            .build();
    try (HostClient client = new HostClient(address, OPERATOR_KEY)) {
      for (ConfigurationEntity entity : configuration.entities()) {
        client.put(
            ConfigurationPlan.path(entity.reference()), ConfigurationJson.print(entity.spec()), 0);
      }
    }
  }
}
