package org.trefoilbarrow.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Stands in for a model engine with an OpenAI-compatible API and continuous batching.
 *
 * <p>The response repeats the words of the last message. Beyond the engine's capacity each token
 * takes proportionally longer. A cold engine that receives more requests than its cold capacity
 * crashes: it drops all its streams and restarts with another boot id. {@code /load} reports the
 * load with a lag; {@code /control/counts} reports the maximum number of requests in progress while
 * cold, the number of crashes, how often each prompt was completed, and how many requests carried a
 * caller's key.
 */
public final class EngineStandIn implements AutoCloseable {
  private static final int DEFAULT_TOKENS = 16;
  private static final long RESTART_MILLIS = 1000;
  private static final long STALL_CHECK_INTERVAL_MILLIS = 20;
  private static final int PREFIX_LENGTH = 64;
  private static final int PREFIX_SPEEDUP = 4;

  private final EngineProfile profile;
  private final PrefixCache prefixes;
  private final StandInServer server;
  private final AtomicInteger active = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicInteger maxActiveWhileCold = new AtomicInteger();
  private final AtomicInteger authorizationHeaders = new AtomicInteger();
  private final AtomicInteger cancelled = new AtomicInteger();
  private final Map<String, Integer> completions = new ConcurrentHashMap<>();
  private volatile Fault fault = Fault.NONE;
  private volatile Boot boot;
  private volatile LoadReport report;

  /** A fault in the engine's responses. */
  public enum Fault {
    NONE,
    /** Responses carry the identifier of another request. */
    CROSSED,
    /** Responses end before they are complete, as if they were complete. */
    TRUNCATED,
    /** Streams stop after their first token without an end; other responses are never sent. */
    STALLED
  }

  private record Boot(String id, long readyAtMillis, long warmAtMillis) {}

  private record LoadReport(long measuredAtMillis, int active) {}

  private EngineStandIn(int port, EngineProfile profile) {
    this.profile = profile;
    this.prefixes = new PrefixCache(profile.cachedPrefixes());
    this.boot = newBoot(0);
    this.report = new LoadReport(nowMillis(), 0);
    this.server = StandInServer.start(port, this::handle);
  }

  /** Starts an engine on the given loopback port, or on a free one if the port is 0. */
  public static EngineStandIn start(int port, EngineProfile profile) {
    return new EngineStandIn(port, profile);
  }

  /** Returns the base address. */
  public String address() {
    return server.address();
  }

  /** Restarts the engine, which drops its streams and is cold again. */
  public void restart() {
    boot = newBoot(RESTART_MILLIS);
  }

  /** Sets the fault of the responses from now on. */
  public void setFault(Fault fault) {
    this.fault = fault;
  }

  /** Returns how often each prompt was completed. */
  public Map<String, Integer> completions() {
    return Map.copyOf(completions);
  }

  /** Returns the number of requests that carried an {@code Authorization} header. */
  public int authorizationHeaders() {
    return authorizationHeaders.get();
  }

  /** Returns the maximum number of requests in progress at once while cold. */
  public int maxActiveWhileCold() {
    return maxActiveWhileCold.get();
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) throws IOException {
    String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
    if (requestId != null) {
      String echoed = fault == Fault.CROSSED ? "another-request" : requestId;
      exchange.getResponseHeaders().set("X-Request-Id", echoed);
    }
    exchange.getResponseHeaders().set("X-Boot-Id", boot.id());
    switch (exchange.getRequestURI().getPath()) {
      case "/v1/chat/completions" -> complete(exchange);
      case "/load" -> StandInServer.sendJson(exchange, 200, load());
      case "/control/counts" -> StandInServer.sendJson(exchange, 200, counts());
      case "/control/restart" -> {
        restart();
        StandInServer.sendJson(exchange, 200, counts());
      }
      default -> refuse(exchange, 404, "not_found");
    }
  }

  private void complete(HttpExchange exchange) throws IOException {
    if (exchange.getRequestHeaders().containsKey("Authorization")) {
      authorizationHeaders.incrementAndGet();
    }
    Boot admittedBy = boot;
    JsonNode request = StandInServer.MAPPER.readTree(exchange.getRequestBody());
    String model = request.path("model").asText();
    if (!profile.models().contains(model)) {
      refuse(exchange, 404, "model_not_found");
      return;
    }
    if (nowMillis() < admittedBy.readyAtMillis()) {
      refuse(exchange, 503, "warming");
      return;
    }
    JsonNode messages = request.path("messages");
    String prompt = messages.path(messages.size() - 1).path("content").asText();
    if (prompt.startsWith("impossible")) {
      refuse(exchange, 400, "impossible");
      return;
    }
    admit(admittedBy);
    try {
      generate(exchange, request, prompt, admittedBy);
    } finally {
      active.decrementAndGet();
    }
  }

  private void admit(Boot admittedBy) {
    int requests = active.incrementAndGet();
    if (nowMillis() >= admittedBy.warmAtMillis()) {
      return;
    }
    maxActiveWhileCold.accumulateAndGet(requests, Math::max);
    if (requests > profile.coldCapacity()) {
      crashes.incrementAndGet();
      restart();
    }
  }

  private void generate(HttpExchange exchange, JsonNode request, String prompt, Boot admittedBy)
      throws IOException {
    boolean streamed = request.path("stream").asBoolean(false);
    int tokens =
        request
            .path("max_tokens")
            .asInt(request.path("max_completion_tokens").asInt(DEFAULT_TOKENS));
    List<String> words = Splitter.on(' ').splitToList(prompt);
    StringBuilder text = new StringBuilder();
    OutputStream out = null;
    try {
      for (int i = 0; i < tokens; i++) {
        pause(i == 0 ? firstTokenMillis(request) : profile.tokenMillis());
        if (!boot.equals(admittedBy)) {
          throw new IOException("engine restarted");
        }
        String token = (i == 0 ? "" : " ") + words.get(i % words.size());
        text.append(token);
        if (streamed) {
          if (out == null) {
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(200, 0);
            out = exchange.getResponseBody();
          }
          send(out, chunk(request, token, null));
        }
        applyFault(out);
      }
    } catch (IOException e) {
      cancelled.incrementAndGet();
      throw e;
    }
    completions.merge(prompt, 1, Integer::sum);
    if (streamed) {
      send(out, chunk(request, "", "stop"));
      out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
      out.close();
    } else {
      StandInServer.sendJson(exchange, 200, completion(request, text.toString(), tokens));
    }
  }

  private long firstTokenMillis(JsonNode request) {
    String prefix = request.path("messages").path(0).path("content").asText();
    boolean hit = prefixes.add(prefix.substring(0, Math.min(PREFIX_LENGTH, prefix.length())));
    return hit ? profile.firstTokenMillis() / PREFIX_SPEEDUP : profile.firstTokenMillis();
  }

  private void applyFault(@Nullable OutputStream out) throws IOException {
    boolean stalled = fault == Fault.STALLED;
    if (!stalled && fault != Fault.TRUNCATED) {
      return;
    }
    while (fault == Fault.STALLED) {
      pause(STALL_CHECK_INTERVAL_MILLIS);
    }
    if (!stalled && out != null) {
      out.close();
    }
    throw new IOException("response broken off by the fault");
  }

  private void pause(long millis) throws IOException {
    double slowdown = Math.max(1.0, (double) active.get() / profile.capacity());
    try {
      Thread.sleep(Math.round(millis * slowdown));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("stopped", e);
    }
  }

  private static void send(OutputStream out, ObjectNode chunk) throws IOException {
    out.write(("data: " + chunk + "\n\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static ObjectNode chunk(JsonNode request, String token, String finishReason) {
    ObjectNode chunk = envelope(request, "chat.completion.chunk");
    ObjectNode choice = chunk.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("delta").put("role", "assistant").put("content", token);
    choice.put("finish_reason", finishReason);
    return chunk;
  }

  private static ObjectNode completion(JsonNode request, String text, int tokens) {
    ObjectNode completion = envelope(request, "chat.completion");
    ObjectNode choice = completion.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text).putNull("refusal");
    choice.put("finish_reason", "stop").putNull("logprobs");
    ObjectNode usage = completion.putObject("usage");
    usage.put("prompt_tokens", 1).put("completion_tokens", tokens).put("total_tokens", tokens + 1);
    return completion;
  }

  private static ObjectNode envelope(JsonNode request, String type) {
    ObjectNode envelope = StandInServer.MAPPER.createObjectNode();
    envelope.put("id", "chatcmpl-" + UUID.randomUUID());
    envelope.put("object", type);
    envelope.put("created", nowMillis() / 1000);
    envelope.put("model", request.path("model").asText());
    return envelope;
  }

  private static void refuse(HttpExchange exchange, int status, String code) throws IOException {
    ObjectNode body = StandInServer.MAPPER.createObjectNode();
    body.putObject("error").put("code", code).put("message", code);
    exchange.getResponseHeaders().set("X-Admitted", "false");
    StandInServer.sendJson(exchange, status, body);
  }

  private ObjectNode load() {
    LoadReport current = report;
    if (nowMillis() - current.measuredAtMillis() >= profile.reportLagMillis()) {
      report = new LoadReport(nowMillis(), active.get());
    }
    ObjectNode load = StandInServer.MAPPER.createObjectNode();
    load.put("bootId", boot.id()).put("active", current.active());
    load.put("capacity", profile.capacity()).put("cold", nowMillis() < boot.warmAtMillis());
    return load;
  }

  private ObjectNode counts() {
    ObjectNode counts = StandInServer.MAPPER.createObjectNode();
    counts.put("mostWhileCold", maxActiveWhileCold.get()).put("falls", crashes.get());
    counts.put("authorizationHeaders", authorizationHeaders.get());
    counts.put("cancelled", cancelled.get()).put("active", active.get());
    ObjectNode prompts = counts.putObject("completions");
    completions.forEach(prompts::put);
    return counts;
  }

  private Boot newBoot(long restartMillis) {
    long readyAt = nowMillis() + restartMillis;
    return new Boot(UUID.randomUUID().toString(), readyAt, readyAt + profile.coldMillis());
  }

  private static long nowMillis() {
    return System.currentTimeMillis();
  }
}
