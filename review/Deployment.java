package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small deployment: three machines with callers, three that run jobs, the platform's store, and
 * workers. Also the client of batch jobs and the record of a case.
 */
public final class Deployment implements AutoCloseable {
  public static final int VALUE_BYTES = 1_048_576;
  public static final String HOST = "ficu95.example";
  public static final String KEY = "2b9wu3fexd9dnn2ctnfz";
  public static final String TENANT = "huka270";
  public static final List<String> ZONES = List.of("bayangol", "sukhbaatar", "khan-uul");

  /** The results must be there so long after the traffic: the bound finishS. */
  public static final long FINISH_MILLIS = 18_000;

  /** Whether the disruption takes place. */
  public final boolean trouble;

  public final Platform platform = new Platform(VALUE_BYTES);
  public final Hosts hosts = new Hosts();
  public final List<Engine> engines = new ArrayList<>();
  private final long startNanos = System.nanoTime();
  private final PrintWriter record;
  private final AtomicInteger nextFront = new AtomicInteger();

  public Deployment(String folder, boolean trouble) throws IOException {
    this.trouble = trouble;
    record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
    note("disruption: %s", trouble ? "on" : "off");
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(114_000);
              } catch (InterruptedException e) {
                return;
              }
              note("the script took too long");
              System.exit(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
  }

  /** Returns the seconds since the start of the script. */
  public double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Writes a line to the record. */
  public void note(String format, Object... values) {
    String line = String.format("%8.3f ", seconds()) + String.format(format, values);
    synchronized (record) {
      record.println(line);
    }
  }

  /** A configuration in the form of the wire examples. */
  public static final class Config {
    public final ObjectNode spec = Platform.JSON.createObjectNode();

    public Config(int version) {
      spec.put("version", version);
      spec.putArray("routes");
      spec.putArray("services");
      spec.putObject("limits")
          .put("maxHeaderBytes", 16384)
          .put("maxBodyBytes", 4194304)
          .put("headerTimeoutMs", 3000)
          .put("idleTimeoutMs", 15000);
      ObjectNode tenant = spec.putArray("tenants").addObject();
      tenant.put("name", TENANT);
      tenant.putArray("apiKeys").add(KEY);
      tenant.put("priority", 1).put("ratePerS", 0).put("burst", 0);
    }

    /** Adds the route of batch jobs, as on the sheet of the site. */
    public Config bulk(String prefix, String service) {
      ((ArrayNode) spec.get("routes"))
          .addObject()
          .put("name", "r-" + prefix.replace("/", ""))
          .put("host", HOST)
          .put("pathPrefix", prefix)
          .put("kind", "bulk")
          .put("timeoutMs", 15000)
          .put("latencyTargetMs", 4000)
          .put("runTargetMs", 18000)
          .put("retentionS", 600)
          .put("priority", 2)
          .put("service", service)
          .put("attempts", 3)
          .put("public", false)
          .put("sticky", true);
      return this;
    }

    /** Sets the timeout of all routes. */
    public Config timeout(int millis) {
      spec.get("routes").forEach(route -> ((ObjectNode) route).put("timeoutMs", millis));
      return this;
    }

    /** Adds a route of streams, as on the sheet of the site. */
    public Config stream(String prefix, String service) {
      ((ArrayNode) spec.get("routes"))
          .addObject()
          .put("name", "r-" + prefix.replace("/", ""))
          .put("host", HOST)
          .put("pathPrefix", prefix)
          .put("kind", "stream")
          .put("timeoutMs", 5000)
          .put("latencyTargetMs", 300)
          .put("gapTargetMs", 400)
          .put("priority", 0)
          .put("service", service)
          .put("attempts", 2)
          .put("public", false)
          .put("resumable", true)
          .put("sticky", true);
      return this;
    }

    public Config service(String name) {
      ObjectNode service =
          ((ArrayNode) spec.get("services"))
              .addObject()
              .put("name", name)
              .put("healthPath", "/healthz")
              .put("maxConns", 360)
              .put("protocol", "h1")
              .put("tls", false)
              .put("coldS", 3.0)
              .put("coldRateS", 12.0);
      service.putObject("engine").put("slots", 8).putArray("models").addObject().put("name", "m");
      return this;
    }
  }

  /** Writes the configuration as the operator does; the store's answer is the acknowledgement. */
  public void configure(Config config) {
    long revision = platform.put("config", "main", config.spec);
    note(
        "operator: configuration version %d acknowledged at revision %d",
        config.spec.path("version").asInt(), revision);
  }

  public void addEngine(Engine engine) {
    engines.add(engine);
    platform.put("servers", engine.id, engine.entry(ZONES.get(engines.size() % ZONES.size())));
  }

  /** Starts all hosts and waits until they are ready and settled; returns false if they are not. */
  public boolean startHosts() throws IOException, InterruptedException {
    for (String zone : ZONES) {
      hosts.start("store-" + zone + "-1", "jobs", zone, platform);
    }
    for (String zone : ZONES) {
      hosts.start("edge-" + zone + "-1", "callers", zone, platform);
    }
    boolean ready = hosts.awaitReady(30_000);
    note("hosts ready: %b", ready);
    // Traffic starts some time after the machines do.
    Thread.sleep(5_000);
    return ready;
  }

  public List<Hosts.Host> fronts() {
    return hosts.hosts.values().stream().filter(host -> host.role.equals("callers")).toList();
  }

  public List<Hosts.Host> jobHosts() {
    return hosts.hosts.values().stream().filter(host -> host.role.equals("jobs")).toList();
  }

  private Hosts.Host nextFront() {
    List<Hosts.Host> fronts = fronts();
    return fronts.get(Math.floorMod(nextFront.getAndIncrement(), fronts.size()));
  }

  /** A batch job of a client. */
  public static final class Job {
    public final String id;
    public final String prefix;
    public final List<String> items = new ArrayList<>();
    public volatile double acceptedAt = -1;
    public final Map<String, String> states = new LinkedHashMap<>();
    public final Map<String, String> outputs = new LinkedHashMap<>();
    public volatile int total = -1;

    public Job(String id, String prefix, int count) {
      this.id = id;
      this.prefix = prefix;
      for (int index = 0; index < count; index++) {
        items.add(id.substring(4) + String.format("%04x", index));
      }
    }

    byte[] body() {
      ObjectNode body = Platform.JSON.createObjectNode();
      ArrayNode list = body.putArray("items");
      for (String item : items) {
        ObjectNode entry = list.addObject();
        entry.put("id", item);
        entry.put("path", prefix + "3/" + item);
        ObjectNode headers = entry.putObject("headers");
        headers.put("X-Model", "m");
        headers.put("X-Token-Count", "350,1421");
        headers.put("X-Prompt-Prefix", "9c2e41:100," + item + ":250");
        entry.put("body", Base64.getEncoder().encodeToString(("brief " + item).getBytes(StandardCharsets.UTF_8)));
        entry.put("tokens", 1771);
      }
      return body.toString().getBytes(StandardCharsets.UTF_8);
    }
  }

  private Map<String, String> headers(String job) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Authorization", "Token " + KEY);
    if (job != null) {
      headers.put("X-Attempt-Id", job);
      headers.put("Content-Type", "application/json");
    }
    return headers;
  }

  /** Submits a job, again at another machine after a refusal or no answer. */
  public boolean submit(Job job) throws InterruptedException {
    for (int attempt = 0; attempt < 4; attempt++) {
      Hosts.Host front = nextFront();
      Http.Answer answer =
          Http.call(front.front, "POST", job.prefix + job.id, headers(job.id), job.body(), 4000);
      note(
          "client: job %s with %d items sent to %s: %d",
          job.id, job.items.size(), front.name, answer.status);
      if (answer.status == 202) {
        job.acceptedAt = seconds();
        return true;
      }
      Thread.sleep(300);
    }
    return false;
  }

  /** Sends a request of a stream route once and returns the status. */
  public int stream(String id, String prefix, Map<String, String> more) {
    Hosts.Host front = nextFront();
    Map<String, String> headers = headers(id);
    headers.put("X-Model", "m");
    headers.put("X-Token-Count", "450,210");
    headers.put("X-Prompt-Prefix", "5c1e07:200," + id + ":250");
    headers.put("X-Deadline-Ms", "5000");
    headers.putAll(more);
    Http.Answer answer =
        Http.call(
            front.front, "POST", prefix + "2f", headers, "brief".getBytes(StandardCharsets.UTF_8),
            5000);
    note(
        "client: request %s %s sent to %s: %d%s",
        id, more, front.name, answer.status, answer.whole ? "" : " (not complete)");
    return answer.status;
  }

  /** Ends a job. */
  public boolean end(Job job) throws InterruptedException {
    for (int attempt = 0; attempt < 4; attempt++) {
      Hosts.Host front = nextFront();
      Http.Answer answer =
          Http.call(front.front, "DELETE", "/-/lots/" + job.id, headers(null), null, 4000);
      note("client: end of job %s sent to %s: %d", job.id, front.name, answer.status);
      if (answer.status == 200) {
        return true;
      }
      Thread.sleep(300);
    }
    return false;
  }

  /** Reads the next results of a job once; returns the status. */
  public int read(Job job, long waitMillis) throws IOException {
    Hosts.Host front = nextFront();
    Map<String, String> headers = headers(null);
    if (waitMillis > 0) {
      headers.put("X-Wait-Ms", String.valueOf(waitMillis));
    }
    int after = job.states.size();
    Http.Answer answer =
        Http.call(
            front.front, "GET", "/-/lots/" + job.id + "?after=" + after, headers, null,
            (int) waitMillis + 3500);
    if (answer.status != 200) {
      note("client: read of %s after %d at %s: %d", job.id, after, front.name, answer.status);
      return answer.status;
    }
    JsonNode body = Platform.JSON.readTree(answer.body);
    job.total = body.path("total").asInt();
    for (JsonNode result : body.path("results")) {
      job.states.put(result.path("id").asText(), result.path("state").asText());
      job.outputs.put(result.path("id").asText(), result.path("output").asText());
    }
    if (body.path("results").size() > 0) {
      note(
          "client: read of %s after %d at %s: %d results of %d, states %s",
          job.id, after, front.name, body.path("results").size(), job.total, count(job));
    }
    return 200;
  }

  /** Returns how many items of a job are in each state. */
  public static Map<String, Integer> count(Job job) {
    Map<String, Integer> counts = new LinkedHashMap<>();
    job.states.values().forEach(state -> counts.merge(state, 1, Integer::sum));
    return counts;
  }

  /** Copies the lines of all hosts' logs that contain a text into the record. */
  public void noteLogs(String text, int most) throws IOException {
    for (String name : hosts.hosts.keySet()) {
      hosts.log(name).stream()
          .filter(line -> line.contains(text))
          .limit(most)
          .forEach(line -> note("log of %s: %s", name, line));
    }
  }

  /** Writes the verdict and returns the exit code. */
  public int verdict(boolean broken, String text) {
    note("%s: %s", broken ? "BROKEN" : "held", text);
    System.out.println((broken ? "BROKEN: " : "held: ") + text);
    return broken ? 1 : 0;
  }

  @Override
  public void close() throws IOException {
    hosts.close();
    engines.forEach(Engine::close);
    platform.close();
    record.close();
  }

  /** The steps of a case. */
  public interface Steps {
    int run(Deployment deployment) throws Exception;
  }

  /**
   * Runs a case and exits with its code.
   *
   * @param arguments the folder of the case, and 0 for no disruption
   */
  public static void main(String[] arguments, Steps steps) {
    int code;
    boolean trouble = !arguments[1].equals("0");
    try (Deployment deployment = new Deployment(arguments[0], trouble)) {
      code = steps.run(deployment);
    } catch (Exception | LinkageError e) {
      e.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }
}
