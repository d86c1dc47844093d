import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import review.Deployment;
import review.Engine;

/** A client asks for weights of another version; after that, nobody's work is run any more. */
public final class Case {
  private static final int JOBS = 5;
  private static final int ITEMS = 10;
  private static final int REQUESTS = 6;

  public static void main(String[] arguments) {
    Deployment.main(arguments, Case::run);
  }

  private static int run(Deployment deployment) throws Exception {
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    AtomicLong lastEnd = new AtomicLong(System.nanoTime());
    Engine.Report report =
        new Engine.Report() {
          @Override
          public void began(Engine engine, String request, String path, String resumedAfter) {
            runs.merge(request, 1, Integer::sum);
          }

          @Override
          public void ended(Engine engine, String request, boolean complete) {
            lastEnd.set(System.nanoTime());
          }
        };
    deployment.configure(
        new Deployment.Config(3)
            .service("huvo11a")
            .bulk("/pule252/", "huvo11a")
            .stream("/pufi791/", "huvo11a"));
    for (int index = 1; index <= 6; index++) {
      deployment.addEngine(
          new Engine("i-" + index, "huvo11a", 8, 30, 10_000, n -> "event " + n, report));
    }
    if (!deployment.startHosts()) {
      return 2;
    }
    for (int index = 0; index < REQUESTS; index++) {
      if (deployment.stream(String.format("5c41e09b52d6%04x", index), "/pufi791/", Map.of())
          != 200) {
        return 2;
      }
    }
    deployment.note("clients: some requests of one client follow");
    Map<String, String> more = deployment.trouble ? Map.of("X-Expect-Version", "2") : Map.of();
    for (int index = 0; index < REQUESTS; index++) {
      deployment.stream(String.format("6c41e09b52d6%04x", index), "/pufi791/", more);
      Thread.sleep(500);
    }
    deployment.note("clients: requests and jobs of other clients follow");
    List<Deployment.Job> jobs = new ArrayList<>();
    for (int index = 0; index < JOBS; index++) {
      Deployment.Job job =
          new Deployment.Job(String.format("7c41e09b52d6%04x", index), "/pule252/", ITEMS);
      jobs.add(job);
      if (!deployment.submit(job)) {
        return 2;
      }
    }
    int served = 0;
    for (int index = 0; index < 10; index++) {
      served +=
          deployment.stream(String.format("8c41e09b52d6%04x", index), "/pufi791/", Map.of()) == 200
              ? 1
              : 0;
      Thread.sleep(300);
    }
    double end = deployment.seconds() + Deployment.FINISH_MILLIS / 1000.0;
    int listed = 0;
    while (deployment.seconds() < end && listed < JOBS * ITEMS) {
      listed = 0;
      for (Deployment.Job job : jobs) {
        if (job.states.size() < ITEMS) {
          deployment.read(job, 0);
        }
        listed += job.states.size();
      }
      Thread.sleep(500);
    }
    int running = deployment.engines.stream().mapToInt(Engine::inProgress).sum();
    double idle = (System.nanoTime() - lastEnd.get()) / 1e9;
    long begun = jobs.stream().flatMap(job -> job.items.stream()).filter(runs::containsKey).count();
    deployment.note(
        "end: %d of %d items are listed, %d have begun to run; of the 10 requests of other clients"
            + " %d were served; all 6 workers are up, run %d now, and ran last %.1f s ago",
        listed, JOBS * ITEMS, begun, served, running, idle);
    if (listed < JOBS * ITEMS && (running > 0 || idle < 5)) {
      return 2;
    }
    return deployment.verdict(
        listed < JOBS * ITEMS,
        "LOST: "
            + (JOBS * ITEMS - listed)
            + " of "
            + JOBS * ITEMS
            + " items of accepted, open jobs are listed neither as completed nor as dead_lettered"
            + " when finishS is over, and "
            + (10 - served)
            + " of 10 requests of other clients were refused, though all workers are up and idle");
  }
}
