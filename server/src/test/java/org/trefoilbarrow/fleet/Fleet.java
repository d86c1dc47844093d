package org.trefoilbarrow.fleet;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilbarrow.operators.BackendServerSpec;
import org.trefoilbarrow.operators.ConfigurationEntity;
import org.trefoilbarrow.operators.ConfigurationJson;
import org.trefoilbarrow.operators.FailureDomainSpec;
import org.trefoilbarrow.operators.FleetConfiguration;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.operators.RouteType;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.standins.EngineProfile;
import org.trefoilbarrow.standins.EngineStandIn;
import org.trefoilbarrow.standins.LinkStandIn;
import org.trefoilbarrow.standins.PlatformStandIn;
import org.trefoilbarrow.standins.ServiceStandIn;

/**
 * A fleet for tests: hosts run as processes of their own, and stand-ins run in the process of the
 * test, which can count their requests and inject faults.
 */
public final class Fleet implements AutoCloseable {
  public static final String OPERATOR_KEY = "test-operator";
  public static final String CALLER_KEY = "test-caller";
  public static final String OTHER_KEY = "test-other";
  public static final String MODEL = "stitch-notes";

  /** Settings by which a backend server is warm shortly after its first success. */
  public static final String SHORT_WARM_UP_SETTINGS =
      "\"backends\": {\"coldForMillis\": 100, \"rampForMillis\": 500}";

  private static final int FIRST_PORT = 10_000;

  /** Below the range of ports that the system assigns to outgoing connections. */
  private static final int LAST_PORT = 32_000;

  private static final AtomicInteger NEXT_PORT = new AtomicInteger(FIRST_PORT);

  /** The first two bytes after 127 of the hosts' addresses, so that test processes share none. */
  private static final long SUBNET = ProcessHandle.current().pid() % (254 * 254);

  private final Path folder;
  private final PlatformStandIn platform = PlatformStandIn.start(0);
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final ServiceStandIn service = ServiceStandIn.start(0);
  private final List<HostProcess> hosts = new ArrayList<>();
  private final List<LinkStandIn> links = new ArrayList<>();
  private final List<String> peerAddresses = new ArrayList<>();
  private final String extraSettings;

  private Fleet(String extraSettings) {
    this.extraSettings = extraSettings;
    try {
      folder = Files.createTempDirectory("trefoilbarrow-fleet");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts a fleet whose hosts have short leases and checkpoint intervals. */
  public static Fleet start(int hostCount, EngineProfile... engineProfiles) {
    return start(
        "\"shares\": {\"leaseMillis\": 8000, \"claimWaitMillis\": 2600},"
            + "\"batch\": {\"segmentLeaseMillis\": 3000, \"checkpointEveryMillis\": 300},"
            + SHORT_WARM_UP_SETTINGS,
        hostCount,
        engineProfiles);
  }

  /** Starts a fleet with additional settings, given as members of a JSON object. */
  public static Fleet start(String extraSettings, int hostCount, EngineProfile... engineProfiles) {
    Fleet fleet = new Fleet(extraSettings);
    for (EngineProfile profile : engineProfiles) {
      fleet.engines.add(EngineStandIn.start(0, profile));
    }
    for (int i = 1; i <= hostCount; i++) {
      fleet.addHost("host-" + i);
    }
    fleet.hosts.forEach(HostProcess::start);
    fleet.hosts.forEach(host -> Eventually.ok(host.healthAddress()));
    return fleet;
  }

  /** Adds a host that is not started yet; the hosts added before it are its seeds. */
  public HostProcess addHost(String name) {
    try {
      String address =
          String.format("127.%d.%d.%d", 1 + SUBNET / 254, 1 + SUBNET % 254, hosts.size() + 2);
      List<Integer> ports = freePorts(address, 3);
      LinkStandIn link =
          LinkStandIn.start(
              new InetSocketAddress("127.0.0.1", 0), new InetSocketAddress(address, ports.get(2)));
      links.add(link);
      Path settings = folder.resolve(name + ".json");
      Files.writeString(
          settings,
          String.format(
              "{\"host\": {\"name\": \"%s\", \"failureDomain\": \"north\","
                  + "\"address\": \"%s\", \"advertisedPeerAddress\": \"%s\","
                  + "\"callerPort\": %d, \"metricsPort\": %d, \"peerPort\": %d},"
                  + "\"platform\": {\"address\": \"%s\", \"timeoutMillis\": 1000},"
                  + "\"peers\": {\"seeds\": %s},"
                  + "\"operators\": {\"keyDigests\": [\"%s\"]},"
                  + "%s}",
              name,
              address,
              link.address(),
              ports.get(0),
              ports.get(1),
              ports.get(2),
              platform.address(),
              JsonCodec.encode(peerAddresses),
              Digests.digest(OPERATOR_KEY),
              extraSettings));
      peerAddresses.add(link.address());
      HostProcess host =
          new HostProcess(
              name, address, ports.get(0), ports.get(1), settings, folder.resolve(name + ".log"));
      hosts.add(host);
      return host;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Applies a configuration with the engines of the fleet, and waits until all hosts serve. */
  public void configure(OrganisationSpec organisation) {
    configure(organisation, 16, 16);
  }

  /**
   * Applies a configuration with the given permits for each engine; waits until all hosts serve.
   */
  public void configure(OrganisationSpec organisation, int permits, int coldPermits) {
    FleetConfiguration.Builder builder =
        FleetConfiguration.builder().add("north", new FailureDomainSpec("dalmatia", true));
    for (int i = 0; i < engines.size(); i++) {
      builder.add(
          "engine-" + i,
          new BackendServerSpec(
              engines.get(i).address(),
              "north",
              ImmutableList.of("echo"),
              permits,
              coldPermits,
              false));
    }
    builder
        .add(
            "registry",
            new BackendServerSpec(
                service.address(), "north", ImmutableList.of("registry"), 480, 480, false))
        .add("workshop", organisation)
        .add("other", OrganisationSpec.of(100, 100))
        .add("workshop-key", new KeySpec("workshop", Digests.digest(CALLER_KEY), false))
        .add("other-key", new KeySpec("other", Digests.digest(OTHER_KEY), false))
        .add(MODEL, RouteSpec.model("echo"))
        .add("labels", RouteSpec.service("registry", true).asOpen())
        .add(
            "certificates",
            new RouteSpec(
                RouteType.SERVICE, "registry", false, false, ImmutableList.of("workshop"), 5000));
    ApiClient operator = operator(0);
    for (ConfigurationEntity entity : builder.build().entities()) {
      operator.put(
          "/admin/v1/" + entity.reference().objectName(),
          ConfigurationJson.print(entity.spec()),
          "If-None-Match",
          "*");
    }
    for (int i = 0; i < hosts.size(); i++) {
      ApiClient caller = caller(i);
      Eventually.that(
          "host serves",
          () ->
              engines.isEmpty()
                  ? caller.get("/v1/models").json().path("data").size() > 0
                  : caller.chat("ready", 1).status() == 200);
    }
  }

  public PlatformStandIn platform() {
    return platform;
  }

  public EngineStandIn engine(int index) {
    return engines.get(index);
  }

  public ServiceStandIn service() {
    return service;
  }

  public HostProcess host(int index) {
    return hosts.get(index);
  }

  public List<HostProcess> hosts() {
    return hosts;
  }

  public ApiClient operator(int host) {
    return new ApiClient(hosts.get(host).address(), OPERATOR_KEY);
  }

  public ApiClient caller(int host) {
    return new ApiClient(hosts.get(host).address(), CALLER_KEY);
  }

  /** Drops all traffic between two hosts without closing their connections. */
  public void partition(int host, int other) {
    links.get(host).partition(hosts.get(other).ip());
    links.get(other).partition(hosts.get(host).ip());
  }

  /** Ends a partition between two hosts. */
  public void heal(int host, int other) {
    links.get(host).heal(hosts.get(other).ip());
    links.get(other).heal(hosts.get(host).ip());
  }

  /** Permanently stalls the connections that are open between hosts. */
  public void stallOpenConnections() {
    links.forEach(LinkStandIn::stallOpenConnections);
  }

  @Override
  public void close() {
    hosts.forEach(HostProcess::close);
    links.forEach(LinkStandIn::close);
    engines.forEach(EngineStandIn::close);
    service.close();
    platform.close();
  }

  /** Returns free ports of an address; this process uses each only once. */
  private static List<Integer> freePorts(String address, int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port = NEXT_PORT.getAndIncrement();
      checkState(port <= LAST_PORT, "no port is left up to %s", LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(address))) {
        ports.add(socket.getLocalPort());
      } catch (BindException e) {
        // Another process uses the port.
      }
    }
    return ports;
  }
}
