package org.trefoilbarrow.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.util.concurrent.Uninterruptibles;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/**
 * Stands in for the platform's object service: {@code /objects/KIND/NAME} with conditional writes,
 * {@code /objects/KIND} as a list, {@code /watch/KIND} as a long poll.
 *
 * <p>{@code /control/faults} sets a latency, an outage and lost responses; every {@code /control}
 * path, such as {@code /control/calls}, returns the counts of calls.
 */
public final class PlatformStandIn implements AutoCloseable {
  private static final int HISTORY_LENGTH = 20_000;
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final int MAX_PAGE_OBJECTS = 1000;
  private static final int MAX_PAGE_BYTES = 4 << 20;

  private final ObjectStore store = new ObjectStore(HISTORY_LENGTH);
  private final LongAdder reads = new LongAdder();
  private final LongAdder writes = new LongAdder();
  private final LongAdder watches = new LongAdder();
  private final LongAdder bytesWritten = new LongAdder();
  private final AtomicInteger responsesToLose = new AtomicInteger();
  private final StandInServer server;
  private volatile long latencyMillis;
  private volatile boolean outage;

  private PlatformStandIn(int port) {
    server = StandInServer.start(port, this::handle);
  }

  /** Starts a platform on the given loopback port, or on a free one if the port is 0. */
  public static PlatformStandIn start(int port) {
    return new PlatformStandIn(port);
  }

  /** Returns the base address. */
  public String address() {
    return server.address();
  }

  /** Starts or ends an outage, in which each call's connection is closed without a response. */
  public void setOutage(boolean outage) {
    this.outage = outage;
  }

  /** Sets the delay before each call is served, in milliseconds. */
  public void setLatencyMillis(long latencyMillis) {
    this.latencyMillis = latencyMillis;
  }

  /** Drops the responses to the given number of next writes; the writes take effect. */
  public void loseResponses(int count) {
    responsesToLose.set(count);
  }

  /** Discards the history of changes, so that no watch can resume. */
  public void discardHistory() {
    store.discardHistory();
  }

  /** Returns the number of received writes, deletions included. */
  public long writes() {
    return writes.sum();
  }

  /** Returns the total size of the values in received writes, in bytes. */
  public long bytesWritten() {
    return bytesWritten.sum();
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    if (path.startsWith("/control/")) {
      control(exchange, path);
      return;
    }
    Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(latencyMillis));
    if (outage) {
      throw new IOException("outage");
    }
    List<String> parts = Splitter.on('/').limit(4).splitToList(path);
    if (parts.size() == 4 && parts.get(1).equals("objects")) {
      object(exchange, parts.get(2), parts.get(3));
    } else if (parts.size() == 3 && parts.get(1).equals("objects")) {
      list(exchange, parts.get(2));
    } else if (parts.size() == 3 && parts.get(1).equals("watch")) {
      watch(exchange, parts.get(2));
    } else {
      StandInServer.sendBytes(exchange, 404, new byte[0]);
    }
  }

  private void object(HttpExchange exchange, String kind, String name) throws IOException {
    switch (exchange.getRequestMethod()) {
      case "GET" -> read(exchange, kind, name);
      case "PUT" -> put(exchange, kind, name);
      case "DELETE" -> {
        writes.increment();
        finishWrite(exchange, store.delete(kind, name, expectedVersion(exchange)));
      }
      default -> StandInServer.sendBytes(exchange, 405, new byte[0]);
    }
  }

  private void read(HttpExchange exchange, String kind, String name) throws IOException {
    reads.increment();
    Optional<ObjectStore.StoredObject> found = store.read(kind, name);
    if (found.isEmpty()) {
      StandInServer.sendBytes(exchange, 404, new byte[0]);
      return;
    }
    exchange.getResponseHeaders().set("ETag", quote(found.get().version()));
    byte[] body = found.get().value().getBytes(StandardCharsets.UTF_8);
    StandInServer.sendBytes(exchange, 200, body);
  }

  private void put(HttpExchange exchange, String kind, String name) throws IOException {
    writes.increment();
    byte[] body = exchange.getRequestBody().readNBytes(MAX_VALUE_BYTES + 1);
    if (body.length > MAX_VALUE_BYTES) {
      StandInServer.sendBytes(exchange, 413, new byte[0]);
      return;
    }
    bytesWritten.add(body.length);
    String value = new String(body, StandardCharsets.UTF_8);
    finishWrite(exchange, store.write(kind, name, expectedVersion(exchange), value));
  }

  private void finishWrite(HttpExchange exchange, Optional<Long> version) throws IOException {
    if (responsesToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      throw new IOException("response lost");
    }
    if (version.isEmpty()) {
      StandInServer.sendBytes(exchange, 409, new byte[0]);
      return;
    }
    exchange.getResponseHeaders().set("ETag", quote(version.get()));
    StandInServer.sendBytes(exchange, 200, new byte[0]);
  }

  private void list(HttpExchange exchange, String kind) throws IOException {
    reads.increment();
    Map<String, String> query = query(exchange);
    int limit = Math.min(MAX_PAGE_OBJECTS, Integer.parseInt(query.getOrDefault("limit", "1000")));
    ObjectStore.Page page =
        store.list(kind, query.getOrDefault("prefix", ""), query.getOrDefault("after", ""), limit);
    ObjectNode response = StandInServer.MAPPER.createObjectNode();
    response.put("revision", page.revision());
    ArrayNode objects = response.putArray("objects");
    long bytes = 0;
    boolean complete = page.complete();
    for (ObjectStore.StoredObject object : page.objects()) {
      if (bytes > MAX_PAGE_BYTES) {
        complete = false;
        break;
      }
      bytes += object.value().length();
      objects
          .addObject()
          .put("name", object.name())
          .put("version", object.version())
          .put("value", object.value());
    }
    response.put("complete", complete);
    StandInServer.sendJson(exchange, 200, response);
  }

  private void watch(HttpExchange exchange, String kind) throws IOException {
    watches.increment();
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long waitMillis = Long.parseLong(query.getOrDefault("waitMillis", "0"));
    final long startRevision = store.revision();
    Optional<List<ObjectStore.Change>> changes;
    try {
      changes = store.awaitChanges(kind, after, waitMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("stopped", e);
    }
    if (outage) {
      throw new IOException("outage");
    }
    if (changes.isEmpty()) {
      StandInServer.sendBytes(exchange, 410, new byte[0]);
      return;
    }
    ObjectNode response = StandInServer.MAPPER.createObjectNode();
    ArrayNode array = response.putArray("changes");
    long revision = startRevision;
    for (ObjectStore.Change change : changes.get()) {
      ObjectNode node = array.addObject();
      node.put("name", change.name()).put("version", change.version());
      change.value().ifPresent(value -> node.put("value", value));
      revision = Math.max(revision, change.version());
    }
    response.put("revision", revision);
    StandInServer.sendJson(exchange, 200, response);
  }

  private void control(HttpExchange exchange, String path) throws IOException {
    if (path.equals("/control/faults")) {
      JsonNode faults = StandInServer.MAPPER.readTree(exchange.getRequestBody());
      latencyMillis = faults.path("latencyMillis").asLong(0);
      outage = faults.path("outage").asBoolean(false);
      responsesToLose.set(faults.path("loseAnswers").asInt(0));
      if (faults.path("forgetHistory").asBoolean(false)) {
        store.discardHistory();
      }
    }
    ObjectNode calls = StandInServer.MAPPER.createObjectNode();
    calls.put("reads", reads.sum()).put("writes", writes.sum()).put("watches", watches.sum());
    calls.put("bytesWritten", bytesWritten.sum());
    StandInServer.sendJson(exchange, 200, calls);
  }

  private static long expectedVersion(HttpExchange exchange) {
    String match = exchange.getRequestHeaders().getFirst("If-Match");
    return match == null ? 0 : Long.parseLong(match.replace("\"", ""));
  }

  private static String quote(long version) {
    return "\"" + version + "\"";
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw == null) {
      return query;
    }
    for (String pair : Splitter.on('&').split(raw)) {
      List<String> parts = Splitter.on('=').limit(2).splitToList(pair);
      query.put(parts.get(0), URLDecoder.decode(parts.get(1), StandardCharsets.UTF_8));
    }
    return query;
  }
}
