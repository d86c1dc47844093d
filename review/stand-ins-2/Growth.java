import java.util.ArrayList;
import java.util.List;

/** Batch jobs come at an even rate until what the job hosts keep of them exceeds their heap. */
final class Growth {
  private static final Worker.Kind LARGE = new Worker.Kind("lemodel", 8, 24, 134_354, 209, 300, 1);
  private static final Worker.Kind SMALL = new Worker.Kind("lemodel", 8, 24, 134_354, 20, 65, 5);
  private static final long LAST_READ_MILLIS = 110_000;
  private static final int JOBS_PER_SECOND_TENTHS = 35;
  private static final int SECONDS = 55;

  public static void main(String[] arguments) {
    Deployment.run(arguments[0], Growth::holds);
  }

  private static boolean holds(Deployment deployment) throws Exception {
    deployment.startWorkers(deployment.trouble ? LARGE : SMALL, 12);
    deployment.store.put("config", "main", Deployment.configuration("lemodel", List.of("sound")));
    List<Fleet.Host> callers = new ArrayList<>();
    List<Fleet.Host> jobHosts = new ArrayList<>();
    for (String zone : Deployment.ZONES) {
      jobHosts.add(deployment.fleet.start("store-" + zone, "jobs", zone));
      callers.add(deployment.fleet.start("edge-" + zone, "callers", zone));
    }
    for (Fleet.Host host : callers) {
      deployment.fleet.awaitReady(host);
    }
    Thread.sleep(4000);
    List<String> accepted = new ArrayList<>();
    long startMillis = deployment.millis();
    int bodyBytes = deployment.trouble ? 20_000 : 600;
    for (int job = 0; deployment.millis() - startMillis < SECONDS * 1000L; job++) {
      String id = String.format("e%07x", job * 7919 + 13);
      int status =
          deployment.submit(callers, "sound", id, Deployment.job(ids(id), 350, 400, bodyBytes));
      if (status == 202) {
        accepted.add(id);
      }
      if (status != 202 || job % 20 == 0) {
        deployment.note("job " + job + " " + id + ": " + status + alive(jobHosts));
      }
      long due = startMillis + (job + 1) * 10_000L / JOBS_PER_SECOND_TENTHS;
      Thread.sleep(Math.max(0, due - deployment.millis()));
    }
    deployment.note(accepted.size() + " jobs accepted" + alive(jobHosts));
    Thread.sleep(19_000);
    int missing = 0;
    for (String id : accepted.subList(Math.max(0, accepted.size() - 40), accepted.size())) {
      if (deployment.millis() < LAST_READ_MILLIS) {
        missing += deployment.countLost(callers, "sound", id, ids(id));
      }
    }
    for (Fleet.Host host : jobHosts) {
      deployment.note(host.name() + alive(List.of(host)) + ", lines about memory in its output: "
          + deployment.fleet.logged(host, "OutOfMemoryError"));
    }
    deployment.note("items of the last 40 jobs neither completed nor given up: " + missing);
    return missing == 0;
  }

  private static String alive(List<Fleet.Host> hosts) {
    return "; processes of job hosts: "
        + hosts.stream().filter(host -> host.process().isAlive()).count() + " of " + hosts.size();
  }

  private static List<String> ids(String job) {
    List<String> ids = new ArrayList<>();
    for (int item = 0; item < 10; item++) {
      ids.add(job + String.format("%04x", item));
    }
    return ids;
  }
}
