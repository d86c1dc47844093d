package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stand-in of the platform's metadata store: objects with revisions, conditional writes, lists,
 * and watches. Each machine calls it on a port of its own, so that a disruption can concern one
 * machine only.
 */
public final class Platform implements AutoCloseable {
  public static final ObjectMapper JSON = new ObjectMapper();
  private static final String BASE = "/-/objects/";

  /** The time of an answer. */
  private static final long ANSWER_MILLIS = 4;

  private static final int PAGE_OBJECTS = 500;
  private static final int PAGE_BYTES = 1_000_000;

  private final int valueBytes;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "platform");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private long revision = 100;

  private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

  /** What an endpoint does with the calls that it receives. */
  public enum Mode {
    SERVE,
    /** Answers 503: nothing was done. */
    BUSY,
    /** Answers 429. */
    MANY
  }

  /** The port for one machine. */
  public final class Endpoint {
    public final String machine;
    private final HttpServer server;
    private volatile Mode mode = Mode.SERVE;

    /** The kind of which the next watch with events loses its answer; empty for none. */
    private volatile String loseWatchOf = "";

    private volatile int lostAnswers;
    private volatile int refusedCalls;
    private volatile int tooLarge;

    private Endpoint(String machine) throws IOException {
      this.machine = machine;
      server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
      server.setExecutor(threads);
      server.createContext(BASE, this::handle);
      server.start();
    }

    public String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Sets what happens to calls; calls that wait are cut off if the mode is not SERVE. */
    public void setMode(Mode newMode) {
      synchronized (Platform.this) {
        mode = newMode;
        Platform.this.notifyAll();
      }
    }

    /** The next answer to a watch of the kind that has events is not sent. */
    public void loseNextWatchAnswer(String kind) {
      loseWatchOf = kind;
    }

    public int lostAnswers() {
      return lostAnswers;
    }

    public int refusedCalls() {
      return refusedCalls;
    }

    public int tooLarge() {
      return tooLarge;
    }

    private void handle(HttpExchange exchange) throws IOException {
      try {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Thread.sleep(ANSWER_MILLIS);
        if (refuse(exchange)) {
          return;
        }
        serve(exchange, body);
      } catch (InterruptedException e) {
        exchange.close();
      } catch (RuntimeException e) {
        e.printStackTrace();
        send(exchange, 400, JSON.createObjectNode());
      }
    }

    private boolean refuse(HttpExchange exchange) throws IOException {
      Mode current = mode;
      if (current == Mode.SERVE) {
        return false;
      }
      refusedCalls++;
      send(exchange, current == Mode.BUSY ? 503 : 429, JSON.createObjectNode());
      return true;
    }

    private void serve(HttpExchange exchange, byte[] body)
        throws IOException, InterruptedException {
      String[] path = exchange.getRequestURI().getRawPath().substring(BASE.length()).split("/");
      for (int index = 0; index < path.length; index++) {
        path[index] = URLDecoder.decode(path[index], StandardCharsets.UTF_8);
      }
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      String kind = path[0];
      switch (exchange.getRequestMethod()) {
        case "GET" -> {
          if (path.length > 1) {
            ObjectNode found = get(kind, path[1]);
            send(exchange, found == null ? 404 : 200, found);
          } else if (query.containsKey("watch")) {
            watch(exchange, kind, query);
          } else {
            send(exchange, 200, list(kind, query.getOrDefault("after", "")));
          }
        }
        case "POST" -> write(exchange, kind, null, JSON.readTree(body), false);
        case "PUT" -> write(exchange, kind, path[1], JSON.readTree(body), path.length > 2);
        case "DELETE" -> {
          String rev = query.get("rev");
          Result result = remove(kind, path[1], rev == null ? -1 : Long.parseLong(rev));
          send(exchange, result.status, result.object);
        }
        default -> send(exchange, 405, null);
      }
    }

    private void write(
        HttpExchange exchange, String kind, String name, JsonNode sent, boolean status)
        throws IOException {
      Result result = store(kind, name, sent, status);
      if (result.status == 413) {
        tooLarge++;
      }
      send(exchange, result.status, result.object);
    }

    private void watch(HttpExchange exchange, String kind, Map<String, String> query)
        throws IOException, InterruptedException {
      long after = Long.parseLong(query.get("watch"));
      long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
      ObjectNode answer = JSON.createObjectNode();
      ArrayNode list = answer.putArray("events");
      synchronized (Platform.this) {
        while (true) {
          if (mode != Mode.SERVE) {
            break;
          }
          for (int index = events.size() - 1; index >= 0; index--) {
            Event event = events.get(index);
            if (event.revision <= after) {
              break;
            }
            if (event.kind.equals(kind)) {
              ObjectNode entry = JSON.createObjectNode();
              entry.set("object", event.object);
              entry.put("deleted", event.deleted);
              list.insert(0, entry);
            }
          }
          long left = (end - System.nanoTime()) / 1_000_000;
          if (!list.isEmpty() || left <= 0) {
            break;
          }
          Platform.this.wait(Math.min(left, 1000) + 1);
        }
        answer.put("asOf", revision);
      }
      if (mode != Mode.SERVE) {
        // A watch that is waiting may be cut off.
        exchange.close();
        return;
      }
      if (!list.isEmpty() && kind.equals(loseWatchOf)) {
        loseWatchOf = "";
        lostAnswers++;
        // The connection stays open and returns nothing further.
        return;
      }
      send(exchange, 200, answer);
    }
  }

  private record Result(int status, ObjectNode object) {}

  public Platform(int valueBytes) {
    this.valueBytes = valueBytes;
  }

  /** Opens the port for one machine. */
  public Endpoint endpoint(String machine) throws IOException {
    Endpoint created = new Endpoint(machine);
    endpoints.add(created);
    return created;
  }

  @Override
  public void close() {
    endpoints.forEach(endpoint -> endpoint.server.stop(0));
  }

  /** Writes a spec as the operator or a worker does; returns the revision. */
  public synchronized long put(String kind, String name, JsonNode spec) {
    ObjectNode object = JSON.createObjectNode();
    ObjectNode metadata = object.putObject("metadata");
    ObjectNode old = get(kind, name);
    metadata.put("name", name);
    metadata.put("created", old == null ? revision + 1 : old.path("metadata").path("created").asLong());
    metadata.putArray("finalizers");
    metadata.put("deleting", false);
    object.set("spec", spec);
    object.set("status", old == null ? NullNode.instance : old.get("status"));
    publish(kind, name, object, false);
    return revision;
  }

  /** Returns an object, or null. */
  public synchronized ObjectNode get(String kind, String name) {
    TreeMap<String, ObjectNode> objects = kinds.get(kind);
    return objects == null ? null : objects.get(name);
  }

  /** Returns the number of objects of a kind. */
  public synchronized int count(String kind) {
    return kinds.getOrDefault(kind, new TreeMap<>()).size();
  }

  private void publish(String kind, String name, ObjectNode object, boolean deleted) {
    ((ObjectNode) object.get("metadata")).put("rev", ++revision);
    if (deleted) {
      kinds.get(kind).remove(name);
    } else {
      kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
    }
    events.add(new Event(revision, kind, object, deleted));
    notifyAll();
  }

  private synchronized Result store(String kind, String putName, JsonNode sent, boolean status) {
    String name = putName != null ? putName : sent.path("metadata").path("name").asText();
    ObjectNode old = get(kind, name);
    if (putName == null && old != null) {
      return new Result(409, old);
    }
    if (putName != null && old == null) {
      return new Result(404, null);
    }
    JsonNode rev = sent.path("metadata").path("rev");
    if (putName != null && !rev.isMissingNode() && rev.asLong() != old.path("metadata").path("rev").asLong()) {
      return new Result(409, old);
    }
    ObjectNode object = JSON.createObjectNode();
    ObjectNode metadata = object.putObject("metadata");
    metadata.put("name", name);
    metadata.put("created", old == null ? revision + 1 : old.path("metadata").path("created").asLong());
    metadata.putArray("finalizers");
    metadata.put("deleting", false);
    object.set("spec", status ? old.get("spec") : sent.path("spec"));
    object.set("status", status ? sent.path("status") : old == null ? NullNode.instance : old.get("status"));
    if (object.toString().getBytes(StandardCharsets.UTF_8).length > valueBytes) {
      return new Result(413, null);
    }
    if (old != null
        && old.get("spec").equals(object.get("spec"))
        && old.get("status").equals(object.get("status"))) {
      return new Result(200, old);
    }
    publish(kind, name, object, false);
    return new Result(old == null ? 201 : 200, object);
  }

  /** Removes an object, on condition of its revision if that is not negative. */
  public synchronized Result remove(String kind, String name, long rev) {
    ObjectNode old = get(kind, name);
    if (old == null) {
      return new Result(404, null);
    }
    if (rev >= 0 && rev != old.path("metadata").path("rev").asLong()) {
      return new Result(409, old);
    }
    ObjectNode removed = old.deepCopy();
    publish(kind, name, removed, true);
    return new Result(200, removed);
  }

  private synchronized ObjectNode list(String kind, String after) {
    ObjectNode page = JSON.createObjectNode();
    ArrayNode items = page.putArray("items");
    long bytes = 0;
    boolean more = false;
    for (ObjectNode object : kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
      bytes += object.toString().length();
      if (items.size() >= PAGE_OBJECTS || (bytes > PAGE_BYTES && !items.isEmpty())) {
        more = true;
        break;
      }
      items.add(object);
    }
    page.put("hasMore", more);
    page.put("asOf", revision);
    return page;
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private static void send(HttpExchange exchange, int status, ObjectNode body) throws IOException {
    byte[] bytes = (body == null ? "{}" : body.toString()).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
