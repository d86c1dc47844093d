import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Submits batch jobs at the rate of the site, each as large as the configuration allows, and reads
 * them. With TROUBLE=0, the bodies of their items are small.
 */
final class LargeJobs {
  private static final int JOBS = 24;
  private static final int ITEMS = 200;
  private static final int EVENTS = 34;
  private static final int BODY_BYTES = Setup.TROUBLE ? 15_200 : 100;

  /** The site's jobs come at 0.36 a second. */
  private static final long INTERVAL_MILLIS = 2_700;

  public static void main(String[] arguments) throws Exception {
    Setup setup = new Setup(arguments[0]);
    setup.configure(0, 0);
    for (int index = 1; index <= 8; index++) {
      setup.engine("i-" + index, 8, EVENTS, 10);
    }
    setup.start(2, 3);
    List<String> accepted = new ArrayList<>();
    long start = System.nanoTime();
    for (int job = 0; job < JOBS; job++) {
      List<ObjectNode> items = new ArrayList<>();
      for (int index = 0; index < ITEMS; index++) {
        items.add(Setup.item("j" + job + "i" + index, BODY_BYTES));
      }
      String name = "job" + job;
      Fleet.Host edge = setup.edges.get(job % 2);
      if (setup.submit(edge, "alpha", name, items).status() == 202) {
        accepted.add(name);
      }
      while (System.nanoTime() - start < (job + 1) * INTERVAL_MILLIS * 1_000_000) {
        Wait.millis(500);
        setup.listed(edge, "alpha", name);
      }
    }
    // No traffic but reads follows; finishS is 18 s.
    Wait.millis(20_000);
    int done = 0;
    for (String name : accepted) {
      done += setup.listed(setup.edges.get(0), "alpha", name) == ITEMS ? 1 : 0;
    }
    for (Fleet.Host host : setup.jobs) {
      setup.record.add(
          host.name, "state", "alive=" + host.process.isAlive()
              + " OutOfMemoryError in its log=" + setup.fleet.hasLogged(host, "OutOfMemoryError"));
    }
    double idleSeconds = setup.record.seconds() - setup.lastRun();
    if (done < accepted.size() && idleSeconds < 8) {
      setup.finish(Setup.NOT_RUN, "items still ran " + idleSeconds + " s ago");
    }
    setup.finish(
        done == accepted.size() ? Setup.HELD : Setup.BROKEN,
        done + " of " + accepted.size() + " accepted jobs are done; "
            + String.format("no item began at a worker for %.1f s", idleSeconds));
  }
}
