package org.trefoilbarrow.coordination.jobs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestJob;
import org.trefoilbarrow.protocol.RequestJob.JobItem;
import org.trefoilbarrow.protocol.RequestJob.Result;
import org.trefoilbarrow.protocol.RequestJob.ResultPart;

public final class RequestJobProgressTest {
  private static final int MANY = 1_000_000;

  private static RequestJob job(int items) {
    ImmutableList.Builder<JobItem> list = ImmutableList.builder();
    for (int index = 0; index < items; index++) {
      list.add(new JobItem("i" + index, "/p/" + index, ImmutableMap.of(), ""));
    }
    return new RequestJob(
        JobId.of("j"), OrganisationId.of("o"), "h.example", "/p/", 1000, list.build());
  }

  @Test
  public void resultsAreVisibleOnlyOnceTheirPartIsKept() {
    RequestJobProgress ledger = new RequestJobProgress(job(2));
    ledger.recordResult("i0", "text");
    assertEquals(ledger.visibleCount(), 0);
    assertTrue(ledger.apply(0, ledger.nextResultPart("me", MANY).orElseThrow()));
    assertEquals(ledger.resultsFrom(0, MANY), ImmutableList.of(new Result("i0", true, "text")));
    assertFalse(ledger.isComplete());
  }

  @Test
  public void anItemIsGivenUpAfterItsLastAttempt() {
    RequestJobProgress ledger = new RequestJobProgress(job(1));
    assertFalse(ledger.recordFailedAttempt("i0", 3));
    assertFalse(ledger.recordFailedAttempt("i0", 3));
    assertTrue(ledger.recordFailedAttempt("i0", 3));
    assertEquals(
        ledger.nextResultPart("me", MANY).orElseThrow().results(),
        ImmutableList.of(new Result("i0", false, "")));
  }

  @Test
  public void anEndedJobRunsAndShowsNothingMore() {
    RequestJobProgress ledger = new RequestJobProgress(job(2));
    ledger.recordResult("i0", "text");
    ledger.cancel();
    assertTrue(ledger.unfinishedItems().isEmpty());
    assertTrue(ledger.nextResultPart("me", MANY).isEmpty());
  }

  @Test
  public void anAnswerHoldsOneResultHoweverLargeItIs() {
    RequestJobProgress ledger = new RequestJobProgress(job(2));
    ledger.recordResult("i0", "long text");
    ledger.recordResult("i1", "long text");
    ledger.apply(0, ledger.nextResultPart("me", MANY).orElseThrow());
    assertEquals(ledger.resultsFrom(0, 1).size(), 1);
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[200][];
    for (int seed = 0; seed < seeds.length; seed++) {
      seeds[seed] = new Object[] {(long) seed};
    }
    return seeds;
  }

  /** Writers that know each other's parts late, lose answers and start anew. */
  @Test(dataProvider = "seeds")
  public void eachItemHasOnePositionWhoeverWrites(long seed) {
    Random random = new Random(seed);
    RequestJob job = job(12);
    List<ResultPart> kept = new ArrayList<>();
    RequestJobProgress[] writers = {
      new RequestJobProgress(job), new RequestJobProgress(job), new RequestJobProgress(job)
    };
    for (int step = 0; step < 4000 && !isAllKept(kept); step++) {
      int index = random.nextInt(writers.length);
      RequestJobProgress writer = writers[index];
      switch (random.nextInt(8)) {
        case 0 -> writers[index] = new RequestJobProgress(job);
        case 1, 2, 3 -> {
          List<JobItem> open = writer.unfinishedItems();
          if (!open.isEmpty()) {
            writer.recordResult(open.get(random.nextInt(open.size())).id(), "by " + index);
          }
        }
        default -> write(writer, "w" + index, kept, random);
      }
    }
    List<String> positions =
        kept.stream().flatMap(part -> part.results().stream()).map(Result::item).toList();
    assertEquals(new HashSet<>(positions).size(), positions.size(), "items stand twice");
    assertEquals(positions.size(), 12);
    RequestJobProgress reader = new RequestJobProgress(job);
    for (int number = 0; number < kept.size(); number++) {
      reader.apply(number, kept.get(number));
    }
    assertEquals(reader.resultsFrom(0, MANY).stream().map(Result::item).toList(), positions);
  }

  private static boolean isAllKept(List<ResultPart> kept) {
    return kept.stream().mapToInt(part -> part.results().size()).sum() >= 12;
  }

  private static void write(
      RequestJobProgress writer, String author, List<ResultPart> kept, Random random) {
    Optional<ResultPart> next = writer.nextResultPart(author, MANY);
    if (next.isEmpty()) {
      return;
    }
    int number = writer.nextPartNumber();
    if (number == kept.size()) {
      kept.add(next.get());
    }
    if (random.nextInt(3) > 0) {
      // Otherwise the answer is lost, and the writer asks again later.
      writer.apply(number, kept.get(number));
    }
  }

  @Test
  public void aHostThatCameBackDoesNotTakeJobsThatOthersRun() {
    RequestJob job = job(1);
    for (int count = 0; count < 20; count++) {
      JobOwner.Candidate back = new JobOwner.Candidate(HostId.of("back" + count), 5000);
      JobOwner.Candidate old = new JobOwner.Candidate(HostId.of("old"), 10);
      assertEquals(JobOwner.of(job, ImmutableList.of(back, old)), Optional.of(HostId.of("old")));
      assertEquals(JobOwner.of(job, ImmutableList.of(back)), Optional.of(back.host()));
    }
  }
}
