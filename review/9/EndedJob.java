import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Clients end their batch jobs; one answer of the store, to one machine, is lost. */
final class EndedJob {
  /** A run takes about 4 s. */
  private static final Worker.Kind MODEL = new Worker.Kind("lemodel", 8, 24, 134_354, 176, 65, 22);
  private static final int JOBS = 18;
  private static final int ITEMS = 24;
  private static final long CANCEL_MILLIS = 3000;
  private static final long CONTACT_MILLIS = 3000;

  public static void main(String[] arguments) {
    Deployment.run(arguments[0], EndedJob::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    deployment.startWorkers(MODEL, 2);
    deployment.store.put("config", "main", Deployment.configuration("lemodel", List.of("sound")));
    List<Fleet.Host> callers = new ArrayList<>();
    for (String zone : Deployment.ZONES) {
      deployment.fleet.start("store-" + zone, "jobs", zone,
          zone.equals("zone-a") ? deployment.store.lossyAddress() : deployment.store.address());
      callers.add(deployment.fleet.start("edge-" + zone, "callers", zone));
    }
    for (Fleet.Host host : callers) {
      deployment.fleet.awaitReady(host);
    }
    Thread.sleep(2000);
    deployment.store.awaitWatch("trefoilbarrow-job-ends");
    List<String> jobs = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      String id = String.format("a%07x", job * 104_729 + 13);
      int status =
          deployment.submit(callers, "sound", id, Deployment.job(ids(id), 350, 400, 600));
      deployment.note("job " + id + ", " + ITEMS + " items: " + status);
      if (status == 202) {
        jobs.add(id);
      }
      Thread.sleep(90);
    }
    Thread.sleep(500);
    if (deployment.trouble) {
      deployment.store.loseNextWatch("trefoilbarrow-job-ends");
    }
    Map<String, Long> ended = new HashMap<>();
    for (String id : jobs) {
      int status = deployment.end(callers.get(0), "sound", id);
      if (status == 200) {
        ended.put(id, System.nanoTime());
      }
      deployment.note("end of job " + id + ": " + status);
    }
    deployment.note("answers of the store that were lost: " + deployment.store.lostWatches());
    Thread.sleep(22_000);
    Map<String, Integer> late = new TreeMap<>();
    for (Worker.Run run : Worker.RUNS) {
      String job = run.attempt().substring(0, 8);
      if (ended.containsKey(job)
          && run.nanos() - ended.get(job) > CANCEL_MILLIS * 1_000_000
          && run.nanos() - deployment.store.lostNanos() > CONTACT_MILLIS * 1_000_000) {
        late.merge(job, 1, Integer::sum);
        deployment.note("item " + run.attempt() + " began to run "
            + (run.nanos() - ended.get(job)) / 1_000_000 + " ms after the end was acknowledged");
      }
    }
    deployment.note("runs later than cancelMs after the end of their job, by job: " + late);
    return late.isEmpty();
  }

  private static List<String> ids(String job) {
    List<String> ids = new ArrayList<>();
    for (int item = 0; item < ITEMS; item++) {
      ids.add(job + String.format("%04x", item));
    }
    return ids;
  }
}
