import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import review.Deployment;
import review.Engine;

/**
 * A version moves the route of batch jobs to another service, and the worker of the former service
 * is emptied and taken away. The items that had not run yet are never run.
 */
public final class Case {
  private static final int JOBS = 12;
  private static final int ITEMS = 10;
  private static final int EVENTS = 203;

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
            runs.merge(engine.service + " " + request, 1, Integer::sum);
          }

          @Override
          public void ended(Engine engine, String request, boolean complete) {
            lastEnd.set(System.nanoTime());
          }
        };
    Deployment.Config former = new Deployment.Config(3).service("huvo11a").service("wuno96b");
    deployment.configure(former.bulk("/pule252/", "wuno96b"));
    for (int index = 1; index <= 8; index++) {
      deployment.addEngine(
          new Engine("i-" + index, "huvo11a", 8, EVENTS, 3_000, n -> "event " + n, report));
    }
    Engine leaving = new Engine("i-9", "wuno96b", 8, EVENTS, 3_000, n -> "event " + n, report);
    deployment.addEngine(leaving);
    if (!deployment.startHosts()) {
      return 2;
    }
    List<Deployment.Job> jobs = new ArrayList<>();
    for (int index = 0; index < JOBS; index++) {
      Deployment.Job job =
          new Deployment.Job(String.format("7c41e09b52d6%04x", index), "/pule252/", ITEMS);
      jobs.add(job);
      if (!deployment.submit(job)) {
        return 2;
      }
    }
    Thread.sleep(1_000);
    if (deployment.trouble) {
      Deployment.Config newer = new Deployment.Config(7).service("huvo11a").service("wuno96b");
      deployment.configure(newer.bulk("/pule252/", "huvo11a"));
      // Well after configApplyMs.
      Thread.sleep(3_000);
      deployment.platform.put(
          "servers",
          leaving.id,
          leaving.entry(Deployment.ZONES.get(0)).put("state", "draining").put("seq", 2));
      deployment.note("worker %s of wuno96b reports draining", leaving.id);
      // drainMs, and a little longer.
      Thread.sleep(3_000);
      deployment.platform.remove("servers", leaving.id, -1);
      leaving.close();
      deployment.note("worker %s has left", leaving.id);
    }
    double end = deployment.seconds() + 15 + Deployment.FINISH_MILLIS / 1000.0;
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
    long newService = runs.keySet().stream().filter(key -> key.startsWith("huvo11a")).count();
    deployment.note(
        "end: %d of %d items are listed; %d items have begun to run at wuno96b and %d at huvo11a,"
            + " whose 8 workers are up; workers run %d now and ran last %.1f s ago",
        listed, JOBS * ITEMS, runs.size() - newService, newService, running, idle);
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
            + " when finishS is over");
  }
}
