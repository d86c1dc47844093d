package org.trefoilbarrow.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.util.concurrent.Uninterruptibles;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a plain service: {@code POST /certificates} is not idempotent and counts its runs;
 * every other path echoes its request.
 *
 * <p>A certificate whose subject begins with "slow" takes two seconds. {@code /control/runs}
 * reports how often each certificate was issued.
 */
public final class ServiceStandIn implements AutoCloseable {
  private static final String SLOW_PREFIX = "slow";
  private static final Duration SLOW_TIME = Duration.ofSeconds(2);

  private final StandInServer server;
  private final AtomicInteger issued = new AtomicInteger();
  private final AtomicInteger authorizationHeaders = new AtomicInteger();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  private ServiceStandIn(int port) {
    server = StandInServer.start(port, this::handle);
  }

  /** Starts a service on the given loopback port, or on a free one if the port is 0. */
  public static ServiceStandIn start(int port) {
    return new ServiceStandIn(port);
  }

  /** Returns the base address. */
  public String address() {
    return server.address();
  }

  /** Returns how often a certificate was issued for each subject. */
  public Map<String, Integer> runs() {
    return Map.copyOf(runs);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) throws IOException {
    if (exchange.getRequestHeaders().containsKey("Authorization")) {
      authorizationHeaders.incrementAndGet();
    }
    String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
    if (requestId != null) {
      exchange.getResponseHeaders().set("X-Request-Id", requestId);
    }
    ObjectNode response = StandInServer.MAPPER.createObjectNode();
    switch (exchange.getRequestURI().getPath()) {
      case "/certificates" -> {
        JsonNode request = StandInServer.MAPPER.readTree(exchange.getRequestBody());
        String subject = request.path("subject").asText();
        runs.merge(subject, 1, Integer::sum);
        if (subject.startsWith(SLOW_PREFIX)) {
          Uninterruptibles.sleepUninterruptibly(SLOW_TIME);
        }
        response.put("certificate", issued.incrementAndGet());
      }
      case "/control/runs" -> {
        response.put("authorizationHeaders", authorizationHeaders.get());
        ObjectNode counts = response.putObject("runs");
        runs.forEach(counts::put);
      }
      default -> {
        response.put("method", exchange.getRequestMethod());
        response.put("path", exchange.getRequestURI().toString());
        response.put(
            "body", new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
      }
    }
    StandInServer.sendJson(exchange, 200, response);
  }
}
