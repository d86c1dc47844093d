package org.trefoilbarrow.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** An HTTP server on the loopback address with one thread for each request in progress. */
final class StandInServer implements AutoCloseable {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int BACKLOG = 1024;
  private static final int MAX_THREADS = 1500;

  private final HttpServer server;
  private final ExecutorService executor;

  /** Handles a request; a thrown {@link IOException} closes the connection without a response. */
  @FunctionalInterface
  interface Handler {
    void handle(HttpExchange exchange) throws IOException;
  }

  private StandInServer(HttpServer server, ExecutorService executor) {
    this.server = server;
    this.executor = executor;
  }

  /** Returns a server that listens on the given port, or on a free one if the port is 0. */
  static StandInServer start(int port, Handler handler) {
    // The JDK reads the property once, when the first server starts.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    ExecutorService executor =
        new ThreadPoolExecutor(
            0, MAX_THREADS, 60, TimeUnit.SECONDS, new SynchronousQueue<>(), StandInServer::thread);
    try {
      HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
      server.createContext("/", exchange -> handle(exchange, handler));
      server.setExecutor(executor);
      server.start();
      return new StandInServer(server, executor);
    } catch (IOException e) {
      throw new UncheckedIOException(String.format("cannot listen on port %d", port), e);
    }
  }

  private static Thread thread(Runnable work) {
    Thread thread = new Thread(work, "stand-in");
    thread.setDaemon(true);
    return thread;
  }

  private static void handle(HttpExchange exchange, Handler handler) {
    try {
      handler.handle(exchange);
    } catch (IOException e) {
      logger.atFine().withCause(e).log(
          "stand-in: closed the connection before a complete response to %s",
          exchange.getRequestURI());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log(
          "stand-in: failed to handle %s", exchange.getRequestURI());
    } finally {
      exchange.close();
    }
  }

  /** Sends the given value as JSON. */
  static void sendJson(HttpExchange exchange, int status, Object value) throws IOException {
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    sendBytes(exchange, status, MAPPER.writeValueAsBytes(value));
  }

  /** Sends a response with the given bytes as its body. */
  static void sendBytes(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
  }

  int port() {
    return server.getAddress().getPort();
  }

  String address() {
    return "http://127.0.0.1:" + port();
  }

  @Override
  public void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
