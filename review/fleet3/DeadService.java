import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * One worker of six, the only one of its service, is lost for good. Batch jobs are submitted for that
 * service, and then one for another service, whose five workers are idle.
 */
final class DeadService {
  private static final int JOBS = 12;
  private static final int ITEMS = 200;
  private static final int LAST_ITEMS = 10;

  public static void main(String[] arguments) throws Exception {
    Setup setup = new Setup(arguments[0]);
    setup.configure(0, 0);
    Worker lost = setup.engine("i-1", "assistant", 8, 5, 5);
    List<Worker> idle = new ArrayList<>();
    for (int index = 2; index <= 6; index++) {
      idle.add(setup.engine("i-" + index, "drafter", 8, 5, 5));
    }
    setup.start(2, 3);
    Fleet.Host edge = setup.edges.get(0);
    if (Setup.TROUBLE) {
      lost.crash();
    }
    for (int job = 0; job < JOBS; job++) {
      if (setup.submit(edge, "alpha", "job" + job, items("j" + job, "/batch/", ITEMS)).status()
          != 202) {
        setup.finish(Setup.NOT_RUN, "a job was not accepted");
      }
    }
    if (setup.submit(edge, "beta", "/drafts/", "last", items("last", "/drafts/", LAST_ITEMS))
            .status()
        != 202) {
      setup.finish(Setup.NOT_RUN, "the last job was not accepted");
    }
    // No traffic but reads follows; finishS is 18 s.
    int listed = 0;
    for (int second = 0; second < 26 && listed < LAST_ITEMS; second += 1) {
      Wait.millis(1000);
      listed = setup.listed(setup.edges.get(1), "beta", "last");
    }
    setup.finish(
        listed == LAST_ITEMS ? Setup.HELD : Setup.BROKEN,
        listed + " of " + LAST_ITEMS + " items of the job for the sound service are listed; its workers"
            + " got " + idle.stream().mapToInt(worker -> worker.runs.size()).sum() + " requests");
  }

  private static List<ObjectNode> items(String prefix, String path, int count) {
    List<ObjectNode> items = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String id = prefix + "i" + index;
      items.add(Setup.item(id, 100).put("path", path + "3/" + id));
    }
    return items;
  }
}
