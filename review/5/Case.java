import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import review.Deployment;
import review.Engine;
import review.Hosts;

/**
 * One answer of the store is lost: that to one machine's watch of the configuration. Jobs on the
 * route that this configuration adds are given up.
 */
public final class Case {
  private static final int JOBS = 12;
  private static final int ITEMS = 10;

  public static void main(String[] arguments) {
    Deployment.main(arguments, Case::run);
  }

  private static int run(Deployment deployment) throws Exception {
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    AtomicInteger failures = new AtomicInteger();
    Engine.Report report =
        new Engine.Report() {
          @Override
          public void began(Engine engine, String request, String path, String resumedAfter) {
            runs.merge(request, 1, Integer::sum);
          }

          @Override
          public void ended(Engine engine, String request, boolean complete) {
            if (!complete) {
              failures.incrementAndGet();
            }
          }
        };
    deployment.configure(
        new Deployment.Config(3).service("huvo11a").bulk("/pule252/", "huvo11a"));
    for (int index = 1; index <= 6; index++) {
      deployment.addEngine(
          new Engine("i-" + index, "huvo11a", 8, 203, 3_000, n -> "event " + n, report));
    }
    if (!deployment.startHosts()) {
      return 2;
    }
    Deployment.Config between = new Deployment.Config(5).service("huvo11a");
    deployment.configure(between.bulk("/pule252/", "huvo11a").timeout(20_000));
    Thread.sleep(1_000);
    Hosts.Host machine = deployment.jobHosts().get(0);
    if (deployment.trouble) {
      machine.platform.loseNextWatchAnswer("config");
    }
    deployment.configure(
        new Deployment.Config(7)
            .service("huvo11a")
            .bulk("/pule252/", "huvo11a")
            .bulk("/puxa900/", "huvo11a")
            .timeout(20_000));
    // After configApplyMs.
    Thread.sleep(3_000);
    deployment.note(
        "platform: answers lost to %s so far: %d", machine.name, machine.platform.lostAnswers());
    List<Deployment.Job> jobs = new ArrayList<>();
    for (int index = 0; index < JOBS; index++) {
      Deployment.Job job =
          new Deployment.Job(String.format("7c41e09b52d6%04x", index), "/puxa900/", ITEMS);
      jobs.add(job);
      if (!deployment.submit(job)) {
        return 2;
      }
    }
    double end = deployment.seconds() + Deployment.FINISH_MILLIS / 1000.0;
    while (deployment.seconds() < end) {
      for (Deployment.Job job : jobs) {
        if (job.states.size() < ITEMS) {
          deployment.read(job, 0);
        }
      }
      Thread.sleep(500);
    }
    int completed = 0;
    int givenUp = 0;
    int givenUpUnrun = 0;
    for (Deployment.Job job : jobs) {
      for (Map.Entry<String, String> item : job.states.entrySet()) {
        if (item.getValue().equals("completed")) {
          completed++;
        } else {
          givenUp++;
          givenUpUnrun += runs.containsKey(item.getKey()) ? 0 : 1;
        }
      }
    }
    deployment.noteLogs("given up", 3);
    deployment.note(
        "end: of %d items %d are completed and %d dead_lettered, %d of these without a run; workers"
            + " answered no request with 500 or 422; the route is in force in all versions since 7",
        JOBS * ITEMS, completed, givenUp, givenUpUnrun);
    return deployment.verdict(
        givenUp > 0,
        "MIXED: "
            + givenUp
            + " items of accepted jobs are dead_lettered before a 422, attempts answers of 500,"
            + " retentionS, the end of their jobs or of their route");
  }
}
