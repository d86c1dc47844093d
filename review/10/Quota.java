import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A limit is lowered while the store turns away the machine that grants slots to all others. */
final class Quota {
  private static final Worker.Kind PLAIN = new Worker.Kind("certreg", 8, 24, 134_354, 2, 60, 10);
  private static final String PATH = "/lohu930/";
  private static final int OLD_RATE = 63;
  private static final int NEW_RATE = 2;
  private static final long OUTAGE_MILLIS = 9000;
  private static final long APPLY_MILLIS = 2000;
  private static final long WINDOW_MILLIS = 5000;

  public static void main(String[] arguments) {
    Deployment.run(arguments[0], Quota::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    deployment.startWorkers(PLAIN, 9);
    deployment.store.put("config", "main", configuration(7, OLD_RATE));
    List<Fleet.Host> callers = new ArrayList<>();
    List<Fleet.Host> jobHosts = new ArrayList<>();
    Map<String, Proxy> proxies = new HashMap<>();
    for (String zone : Deployment.ZONES) {
      Proxy proxy =
          new Proxy(Fleet.NETWORK + "202." + (1 + proxies.size()), deployment.store.address());
      proxies.put("store-" + zone, proxy);
      jobHosts.add(deployment.fleet.start("store-" + zone, "jobs", zone, proxy.address()));
      callers.add(deployment.fleet.start("edge-" + zone, "callers", zone));
      callers.add(deployment.fleet.start("edge-" + zone + "-2", "callers", zone));
    }
    for (Fleet.Host host : callers) {
      deployment.fleet.awaitReady(host);
    }
    Thread.sleep(5000);
    Map<String, Long> sent = new ConcurrentHashMap<>();
    Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    AtomicInteger next = new AtomicInteger();
    ScheduledExecutorService clients = Executors.newScheduledThreadPool(48);
    clients.scheduleAtFixedRate(
        () -> clients.execute(() -> send(deployment, callers, next, sent, statuses)),
        0, 7, TimeUnit.MILLISECONDS);
    Thread.sleep(4000);
    String holder = holder(deployment, jobHosts);
    deployment.note("slots come from " + holder);
    if (deployment.trouble) {
      proxies.get(holder).setRefuses(true);
      deployment.note("the store turns " + holder + " away");
    }
    Thread.sleep(200);
    deployment.store.put("config", "main", configuration(9, NEW_RATE));
    long ackNanos = System.nanoTime();
    deployment.note("acknowledged: ratePerS and burst of the tenant are " + NEW_RATE);
    Thread.sleep(OUTAGE_MILLIS - 200);
    proxies.get(holder).setRefuses(false);
    deployment.note("the store serves " + holder + " again");
    Thread.sleep(7000);
    clients.shutdownNow();
    deployment.note("answers by status: " + statuses);
    long bindsNanos = ackNanos + (APPLY_MILLIS + WINDOW_MILLIS) * 1_000_000;
    int most = 0;
    List<Worker.Run> runs = new ArrayList<>(Worker.RUNS);
    for (Worker.Run first : runs) {
      if (first.nanos() < bindsNanos) {
        continue;
      }
      int count = 0;
      for (Worker.Run run : runs) {
        long since = run.nanos() - first.nanos();
        boolean inWindow = since >= 0 && since < WINDOW_MILLIS * 1_000_000;
        count += inWindow && sent.get(run.attempt()) - first.nanos() > -5_000_000 ? 1 : 0;
      }
      most = Math.max(most, count);
    }
    for (long second = 0; second < 16; second++) {
      long from = ackNanos + second * 1_000_000_000L;
      deployment.note(
          "from " + second + " s after the acknowledgement: "
              + runs.stream()
                  .filter(run -> run.nanos() >= from && run.nanos() < from + 1_000_000_000L)
                  .count()
              + " requests run");
    }
    double allowed = (NEW_RATE * 5 + NEW_RATE) * 1.1 + 20;
    deployment.note(
        "most requests in a window of 5 s that begins 7 s after the acknowledgement or later: "
            + most + "; allowed: " + allowed);
    return most <= allowed;
  }

  private static void send(
      Deployment deployment, List<Fleet.Host> callers, AtomicInteger next,
      Map<String, Long> sent, Map<Integer, AtomicInteger> statuses) {
    int number = next.getAndIncrement();
    String attempt = String.format("%016x", 0x51a0_0000L + number);
    Map<String, String> headers = new HashMap<>();
    headers.put("Host", Deployment.HOST);
    headers.put("Authorization", "Token key-of-hot");
    headers.put("X-Attempt-Id", attempt);
    headers.put("X-Deadline-Ms", "1500");
    sent.put(attempt, System.nanoTime());
    int status =
        Http.status(deployment.fleet.front(callers.get(number % callers.size())), "POST",
            PATH + "2f", headers, "body", 2000);
    statuses.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
  }

  /** Returns the host that the job hosts name as the one from which they get slots. */
  private static String holder(Deployment deployment, List<Fleet.Host> jobHosts) throws Exception {
    String line = "";
    for (Fleet.Host host : jobHosts) {
      List<String> lines = deployment.fleet.lines(host, "\"dispatching host changed\"");
      line = lines.get(lines.size() - 1);
    }
    JsonNode event = Store.JSON.readTree(line);
    return event.get("host").asText();
  }

  private static ObjectNode configuration(int version, int rate) {
    ObjectNode config = Deployment.configuration("certreg", List.of("hot"));
    config.put("version", version);
    ((ArrayNode) config.get("routes"))
        .add(
            Store.tree(
                "{'name':'r-plain','host':'" + Deployment.HOST + "','pathPrefix':'" + PATH
                    + "','kind':'idempotent','timeoutMs':1500,'latencyTargetMs':121,'priority':0,"
                    + "'service':'certreg','attempts':2,'public':false}"));
    ((ObjectNode) config.at("/tenants/0")).put("ratePerS", rate).put("burst", rate);
    return config;
  }
}
