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

public final class JobLedgerTest {
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
    JobLedger ledger = new JobLedger(job(2));
    ledger.done("i0", "text");
    assertEquals(ledger.visibleCount(), 0);
    assertTrue(ledger.apply(0, ledger.nextResults("me", MANY).orElseThrow()));
    assertEquals(ledger.resultsFrom(0, MANY), ImmutableList.of(new Result("i0", true, "text")));
    assertFalse(ledger.isOver());
  }

  @Test
  public void anItemIsGivenUpAfterItsLastAttempt() {
    JobLedger ledger = new JobLedger(job(1));
    assertFalse(ledger.failed("i0", 3));
    assertFalse(ledger.failed("i0", 3));
    assertTrue(ledger.failed("i0", 3));
    assertEquals(
        ledger.nextResults("me", MANY).orElseThrow().results(),
        ImmutableList.of(new Result("i0", false, "")));
  }

  @Test
  public void anEndedJobRunsAndShowsNothingMore() {
    JobLedger ledger = new JobLedger(job(2));
    ledger.done("i0", "text");
    ledger.end();
    assertTrue(ledger.unfinished().isEmpty());
    assertTrue(ledger.nextResults("me", MANY).isEmpty());
  }

  @Test
  public void anAnswerHoldsOneResultHoweverLargeItIs() {
    JobLedger ledger = new JobLedger(job(2));
    ledger.done("i0", "long text");
    ledger.done("i1", "long text");
    ledger.apply(0, ledger.nextResults("me", MANY).orElseThrow());
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
    JobLedger[] writers = {new JobLedger(job), new JobLedger(job), new JobLedger(job)};
    for (int step = 0; step < 4000 && !isAllKept(kept); step++) {
      int index = random.nextInt(writers.length);
      JobLedger writer = writers[index];
      switch (random.nextInt(8)) {
        case 0 -> writers[index] = new JobLedger(job);
        case 1, 2, 3 -> {
          List<JobItem> open = writer.unfinished();
          if (!open.isEmpty()) {
            writer.done(open.get(random.nextInt(open.size())).id(), "by " + index);
          }
        }
        default -> write(writer, "w" + index, kept, random);
      }
    }
    List<String> positions =
        kept.stream().flatMap(part -> part.results().stream()).map(Result::item).toList();
    assertEquals(new HashSet<>(positions).size(), positions.size(), "items stand twice");
    assertEquals(positions.size(), 12);
    JobLedger reader = new JobLedger(job);
    for (int number = 0; number < kept.size(); number++) {
      reader.apply(number, kept.get(number));
    }
    assertEquals(reader.resultsFrom(0, MANY).stream().map(Result::item).toList(), positions);
  }

  private static boolean isAllKept(List<ResultPart> kept) {
    return kept.stream().mapToInt(part -> part.results().size()).sum() >= 12;
  }

  private static void write(JobLedger writer, String author, List<ResultPart> kept, Random random) {
    Optional<ResultPart> next = writer.nextResults(author, MANY);
    if (next.isEmpty()) {
      return;
    }
    int number = writer.nextPart();
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
