import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Replaces the machines that serve clients, one after the other, as an operator does who installs a
 * new version on new machines: the next machine starts and becomes ready, then the old one gets
 * SIGTERM and is gone for good. Then a batch job is submitted.
 */
final class GoneHosts {
  private static final int REPLACED = 14;
  private static final int ITEMS = 10;
  private static final int REQUESTS = 20;

  public static void main(String[] arguments) throws Exception {
    Setup setup = new Setup(arguments[0]);
    setup.configure(0, 0);
    setup.engine("i-1", 4, 10, 20);
    setup.engine("i-2", 4, 10, 20);
    setup.ledger("i-3", 4, 10);
    setup.start(2, 1);
    List<Fleet.Host> serving = new ArrayList<>(setup.edges);
    for (int index = 0; Setup.TROUBLE && index < REPLACED; index++) {
      Fleet.Host next = setup.fleet.edge("edge-z1-" + (index + 3), "z1", setup.edgeDoor.address());
      serving.add(next);
      if (!Wait.until(15, () -> setup.fleet.isReady(next))) {
        setup.finish(Setup.NOT_RUN, next.name + " did not become ready");
      }
      setup.fleet.terminate(serving.remove(0));
    }
    // Longer than catchUpS (4.4 s) after the last machine has started, and than its grace.
    Wait.millis(10000);
    int served = 0;
    for (int index = 0; index < REQUESTS; index++) {
      Http.Answer answer =
          setup.request(serving.get(index % 2), "/scan/a", "alpha", "r" + index, 1500);
      setup.record.add("client", "request", "r" + index + " -> " + Setup.describe(answer));
      served += answer.status() == 200 ? 1 : 0;
    }
    List<ObjectNode> items = new ArrayList<>();
    for (int index = 0; index < ITEMS; index++) {
      items.add(Setup.item("item" + index, 1000));
    }
    if (setup.submit(serving.get(0), "alpha", "job1", items).status() != 202) {
      setup.finish(Setup.NOT_RUN, "the job was not accepted");
    }
    // No traffic follows; finishS is 18 s.
    int listed = 0;
    for (int second = 0; second < 24 && listed < ITEMS; second += 2) {
      Wait.millis(2000);
      listed = setup.listed(serving.get(1), "alpha", "job1");
    }
    setup.finish(
        listed == ITEMS ? Setup.HELD : Setup.BROKEN,
        listed + " of " + ITEMS + " items of the accepted job are listed; " + served + " of "
            + REQUESTS + " single requests were served; "
            + setup.workers.stream().mapToInt(worker -> worker.runs.size()).sum()
            + " requests ran at the workers, which are idle");
  }
}
