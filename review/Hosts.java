package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts the project's hosts as processes, with the commands and settings of the deploy file. */
public final class Hosts implements AutoCloseable {
  private static final int GRACE_SECONDS = 8;

  public final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Path directory;
  private final Path root = Path.of("").toAbsolutePath();

  /** One host. */
  public static final class Host {
    public final String name;
    public final String role;
    public final int front;
    public final int ready;
    public final Platform.Endpoint platform;
    final int link;
    final Path settings;
    public Process process;

    Host(String name, String role, Platform.Endpoint platform, Path settings) throws IOException {
      this.name = name;
      this.role = role;
      this.platform = platform;
      this.settings = settings;
      this.front = freePort();
      this.ready = freePort();
      this.link = freePort();
    }
  }

  public Hosts() throws IOException {
    directory = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::closeAtExit));
  }

  /** Creates and starts a host of a role. */
  public Host start(String name, String role, String zone, Platform platform) throws IOException {
    Host host =
        new Host(name, role, platform.endpoint(name), directory.resolve(name + ".json"));
    hosts.put(name, host);
    String template =
        Files.readString(root.resolve(value(role, "template")))
            .replace("{{node|json}}", quote(name))
            .replace("{{zone|json}}", quote(zone))
            .replace("{{ip|json}}", quote("127.0.0.1"))
            .replace("{{listen.front|json}}", quote("127.0.0.1:" + host.front))
            .replace("{{listen.ready|json}}", quote("127.0.0.1:" + host.ready))
            .replace("{{internalPorts.0}}", String.valueOf(host.link))
            .replace("{{platform.addr|json}}", quote(host.platform.address()))
            .replace("{{bounds.graceS}}", String.valueOf(GRACE_SECONDS))
            // All hosts of a script share one address, so none can have the fixed port.
            .replaceAll("\"metricsPort\": \\d+", "\"metricsPort\": 0");
    if (template.contains("{{")) {
      throw new IOException("unknown placeholder in the template of " + role);
    }
    Files.writeString(host.settings, template);
    launch(host);
    return host;
  }

  /** Starts the process of a host, for the first time or again. */
  public void launch(Host host) throws IOException {
    String run =
        value(host.role, "run").replace("/etc/trefoilbarrow/boot.json", host.settings.toString());
    ProcessBuilder builder = new ProcessBuilder(run.split(" "));
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("TREFOILBARROW_NODE_FILE", host.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(directory.resolve(host.name + ".log").toFile()));
    host.process = builder.start();
  }

  /** Returns the log of a host so far. */
  public List<String> log(String name) throws IOException {
    return Files.readAllLines(directory.resolve(name + ".log"));
  }

  /** Waits until all hosts with callers are ready. */
  public boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      boolean ready = true;
      for (Host host : hosts.values()) {
        if (!host.process.isAlive()) {
          return false;
        }
        if (host.role.equals("callers")) {
          Http.Answer answer = Http.call(host.ready, "GET", "/-/readyz", Map.of(), null, 1000);
          ready &= answer.status == 200;
        }
      }
      if (ready) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  @Override
  public void close() throws IOException {
    kill();
    List<Path> files = new ArrayList<>();
    try (Stream<Path> found = Files.walk(directory)) {
      found.sorted(Comparator.reverseOrder()).forEach(files::add);
    }
    for (Path file : files) {
      Files.deleteIfExists(file);
    }
  }

  private void closeAtExit() {
    try {
      close();
    } catch (IOException e) {
      // The folder is gone already.
    }
  }

  private void kill() {
    for (Host host : hosts.values()) {
      if (host.process != null) {
        host.process.destroyForcibly();
      }
    }
    for (Host host : hosts.values()) {
      try {
        if (host.process != null) {
          host.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private String value(String role, String key) throws IOException {
    String text = Files.readString(root.resolve("deploy/system.toml"));
    String section = text.substring(text.indexOf("[roles." + role + "]"));
    Matcher matcher =
        Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
    if (!matcher.find()) {
      throw new IOException("no " + key + " of role " + role);
    }
    return matcher.group(1);
  }

  private static String quote(String text) {
    return "\"" + text + "\"";
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }
}
