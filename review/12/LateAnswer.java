import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * One item of a batch job fails once with 500; the worker sends that answer again late, at the point
 * where its next answer on the connection is expected.
 */
final class LateAnswer {
  private static final int OTHERS = 40;

  public static void main(String[] arguments) throws Exception {
    Setup setup = new Setup(arguments[0]);
    setup.configure(0, 0);
    Worker worker = setup.engine("i-1", 8, 10, 5);
    setup.start(1, 1);
    Fleet.Host edge = setup.edges.get(0);
    List<ObjectNode> items = new ArrayList<>();
    for (int index = 0; index < OTHERS; index++) {
      items.add(Setup.item("sound" + index, 1000));
    }
    setup.submit(edge, "alpha", "job1", items);
    if (!Wait.until(20, () -> setup.listed(edge, "alpha", "job1") == OTHERS)) {
      setup.finish(Setup.NOT_RUN, "the sound items were not done");
    }
    worker.repeatsFailures = Setup.TROUBLE;
    worker.failNext.add("item1");
    if (setup.submit(edge, "alpha", "job2", List.of(Setup.item("item1", 1000))).status() != 202) {
      setup.finish(Setup.NOT_RUN, "the job was not accepted");
    }
    if (!Wait.until(20, () -> setup.listed(edge, "alpha", "job2") == 1)) {
      setup.finish(Setup.NOT_RUN, "the item has no result");
    }
    JsonNode result =
        Store.JSON.readTree(setup.read(edge, "alpha", "job2", 0).body()).path("results").path(0);
    String state = result.path("state").asText();
    long runs =
        worker.runs.stream().filter(run -> "item1".equals(run.header("x-attempt-id"))).count();
    setup.finish(
        state.equals("completed") ? Setup.HELD : Setup.BROKEN,
        "the item is " + state + " after one failed run, " + runs + " runs in all; attempts is "
            + Setup.BATCH_ATTEMPTS);
  }
}
