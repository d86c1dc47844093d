package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** A stand-in of a model worker: answers each request with a stream of events. */
public final class Engine implements AutoCloseable {
  private static final int QUEUE = 24;
  private static final int EVENTS_A_STEP = 7;

  public final String id;
  public final String service;
  private final int slots;
  private final int events;
  private final long pauseMicros;
  private final IntFunction<String> data;
  private final Report report;
  /** The version of the worker's weights. */
  public final int weights = 1;

  private final HttpServer server;
  private final Semaphore free;
  private final AtomicInteger inProgress = new AtomicInteger();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "engine");
            thread.setDaemon(true);
            return thread;
          });

  /** Receives what the worker runs. */
  public interface Report {
    /** Called when the worker begins to work on a request. */
    void began(Engine engine, String request, String path, String resumedAfter);

    /** Called when a run has ended. */
    void ended(Engine engine, String request, boolean whole);
  }

  public Engine(
      String id,
      String service,
      int slots,
      int events,
      long pauseMicros,
      IntFunction<String> data,
      Report report)
      throws IOException {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.events = events;
    this.pauseMicros = pauseMicros;
    this.data = data;
    this.report = report;
    this.free = new Semaphore(slots, true);
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 400);
    server.setExecutor(threads);
    server.createContext("/", this::serve);
    server.start();
  }

  /** Returns the worker's entry in the platform's store. */
  public ObjectNode entry(String zone) {
    return Platform.JSON
        .createObjectNode()
        .put("service", service)
        .put("addr", "127.0.0.1:" + server.getAddress().getPort())
        .put("zone", zone)
        .put("version", "v1")
        .put("slots", slots)
        .put("state", "ready")
        .put("coldLeftMs", 0)
        .put("born", System.currentTimeMillis())
        .put("seq", 1);
  }

  public int inProgress() {
    return inProgress.get();
  }

  public int slots() {
    return slots;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private static String header(HttpExchange exchange, String name) {
    String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }

  private void serve(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    String request = header(exchange, "X-Attempt-Id");
    exchange.getResponseHeaders().set("X-Attempt-Id", request);
    if (!header(exchange, "X-Expect-Instance").equals(id)) {
      exchange.getResponseHeaders().set("X-Not-Run", "1");
      exchange.getResponseHeaders().set("X-Instance-Id", id);
      exchange.sendResponseHeaders(421, -1);
      exchange.close();
      return;
    }
    String version = header(exchange, "X-Expect-Version");
    if (!version.isEmpty() && !version.equals(String.valueOf(weights))) {
      exchange.getResponseHeaders().set("X-Not-Run", "1");
      exchange.getResponseHeaders().set("X-Instance-Id", id);
      exchange.sendResponseHeaders(421, -1);
      exchange.close();
      return;
    }
    if (inProgress.incrementAndGet() > slots + QUEUE) {
      inProgress.decrementAndGet();
      exchange.getResponseHeaders().set("X-Not-Run", "1");
      exchange.sendResponseHeaders(503, -1);
      exchange.close();
      return;
    }
    try {
      free.acquire();
      try {
        run(exchange, request);
      } finally {
        free.release();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      inProgress.decrementAndGet();
    }
  }

  private void run(HttpExchange exchange, String request) {
    String after = header(exchange, "Last-Event-Id");
    report.began(this, request, exchange.getRequestURI().toString(), after);
    boolean whole = false;
    try {
      exchange.getResponseHeaders().set("X-Server-Stamp", "s." + id + "." + request);
      exchange.getResponseHeaders().set("X-Weight-Versions", String.valueOf(weights));
      exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
      exchange.sendResponseHeaders(200, 0);
      OutputStream output = exchange.getResponseBody();
      for (int event = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; event <= events; event++) {
        output.write(
            ("id: " + event + "\ndata: " + data.apply(event) + "\n\n")
                .getBytes(StandardCharsets.UTF_8));
        // A step of the engine gives several events of a stream.
        if (event % EVENTS_A_STEP == 0) {
          output.flush();
          TimeUnit.MICROSECONDS.sleep(pauseMicros * EVENTS_A_STEP);
        }
      }
      exchange.close();
      whole = true;
    } catch (IOException | InterruptedException e) {
      exchange.close();
    }
    report.ended(this, request, whole);
  }
}
