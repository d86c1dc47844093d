package org.trefoilbarrow.coordination.jobs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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

  private static Optional<ResultPart> nextPart(RequestJobProgress progress, String author) {
    return progress.nextResultPart(author, MANY, result -> result.output().length());
  }

  /** Each row: the most bytes of a part, and the items of the parts that are written. */
  @DataProvider
  public Object[][] partLimits() {
    return new Object[][] {
      {1, List.of("i0", "i1", "i2", "i3")},
      {20, List.of("i0 i1", "i2 i3")},
      {29, List.of("i0 i1", "i2 i3")},
      {100, List.of("i0 i1 i2 i3")}
    };
  }

  @Test(dataProvider = "partLimits")
  public void nextResultPart_holdsAsManyResultsAsFit(long maxBytes, List<String> parts) {
    RequestJobProgress progress = new RequestJobProgress(job(4));
    for (int item = 0; item < 4; item++) {
      progress.recordResult("i" + item, "0123456789");
    }
    List<String> written = new ArrayList<>();
    while (progress.hasResultsToWrite()) {
      ResultPart part =
          progress.nextResultPart("me", maxBytes, result -> result.output().length()).orElseThrow();
      written.add(String.join(" ", part.results().stream().map(Result::item).toList()));
      progress.apply(progress.nextPartNumber(), part);
    }
    assertEquals(written, parts);
  }

  /** A refused part was sent again unchanged for ever, and held up all later results. */
  @Test
  public void postpone_letsOneLargeResultHoldUpNoOther() {
    RequestJobProgress progress = new RequestJobProgress(job(4));
    progress.recordResult("i0", "much too large for any object");
    for (int item = 1; item < 4; item++) {
      progress.recordResult("i" + item, "text");
    }
    for (int write = 0; write < 3; write++) {
      ResultPart part =
          progress.nextResultPart("me", 10, result -> result.output().length()).orElseThrow();
      if (part.results().get(0).item().equals("i0")) {
        progress.postpone(part.results().get(0));
      } else {
        progress.apply(progress.nextPartNumber(), part);
      }
    }
    assertEquals(progress.visibleCount(), 3);
    assertTrue(progress.hasResultsToWrite());
  }

  @Test
  public void resultsAreVisibleOnlyOnceTheirPartIsApplied() {
    RequestJobProgress progress = new RequestJobProgress(job(2));
    progress.recordResult("i0", "text");
    assertEquals(progress.visibleCount(), 0);
    assertTrue(progress.apply(0, nextPart(progress, "me").orElseThrow()));
    assertEquals(progress.resultsFrom(0, MANY), ImmutableList.of(new Result("i0", true, "text")));
    assertFalse(progress.isComplete());
  }

  /**
   * Each line: the time in ms, whether the route is present, when the configuration was confirmed
   * last, and the decision.
   */
  @DataProvider
  public Object[][] routes() {
    return new Object[][] {
      {List.of("0 true never RUN", "9000 true never RUN")},
      {List.of("0 false 0 WAIT", "4999 false 0 WAIT", "5000 false 5000 GIVE_UP")},
      {List.of("0 false 0 WAIT", "4000 true 0 RUN", "5000 false 4000 CONFIRM")},
      {List.of("0 true 0 RUN", "100 false 100 WAIT", "5099 false 100 WAIT")},
      {List.of("0 true 0 RUN", "100 false 100 WAIT", "5100 false 5100 GIVE_UP")},
      // Missing for long, but only in a configuration that may be old.
      {List.of("0 false never CONFIRM", "5000 false never CONFIRM", "60000 false never CONFIRM")},
      {List.of("100 false 50 CONFIRM", "5100 false 50 CONFIRM", "5100 false 5099 CONFIRM")},
      {List.of("0 false 0 WAIT", "5000 false 0 CONFIRM", "5200 false 5000 GIVE_UP")}
    };
  }

  /** A host gave up items for a route that it missed only because an answer was lost. */
  @Test(dataProvider = "routes")
  public void routeHasEndedOnlyWhenPlatformConfirmsIt(List<String> lines) {
    RequestJobProgress progress = new RequestJobProgress(job(1));
    for (String line : lines) {
      List<String> parts = Splitter.on(' ').splitToList(line);
      OptionalLong confirmedNanos =
          parts.get(2).equals("never")
              ? OptionalLong.empty()
              : OptionalLong.of(nanos(parts.get(2)));
      RouteDecision decision =
          progress.decideOnRoute(
              Boolean.parseBoolean(parts.get(1)), confirmedNanos, nanos(parts.get(0)));
      assertEquals(decision, RouteDecision.valueOf(parts.get(3)), line);
    }
  }

  private static long nanos(String millis) {
    return Duration.ofMillis(Long.parseLong(millis)).toNanos();
  }

  @Test
  public void recordFailedAttempt_failsTheItemAfterItsLastAttempt() {
    RequestJobProgress progress = new RequestJobProgress(job(1));
    assertFalse(progress.recordFailedAttempt("i0", 3));
    assertFalse(progress.recordFailedAttempt("i0", 3));
    assertTrue(progress.recordFailedAttempt("i0", 3));
    assertEquals(
        nextPart(progress, "me").orElseThrow().results(),
        ImmutableList.of(new Result("i0", false, "")));
  }

  @Test
  public void cancel_leavesNoItemsToRunAndNoResultsToWrite() {
    RequestJobProgress progress = new RequestJobProgress(job(2));
    progress.recordResult("i0", "text");
    progress.cancel();
    assertTrue(progress.unfinishedItems().isEmpty());
    assertTrue(nextPart(progress, "me").isEmpty());
  }

  @Test
  public void resultsFrom_returnsOneResultEvenAboveTheSizeLimit() {
    RequestJobProgress progress = new RequestJobProgress(job(2));
    progress.recordResult("i0", "long text");
    progress.recordResult("i1", "long text");
    progress.apply(0, nextPart(progress, "me").orElseThrow());
    assertEquals(progress.resultsFrom(0, 1).size(), 1);
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[200][];
    for (int seed = 0; seed < seeds.length; seed++) {
      seeds[seed] = new Object[] {(long) seed};
    }
    return seeds;
  }

  /** Several writers read each other's parts late, lose responses and restart. */
  @Test(dataProvider = "seeds")
  public void eachItemHasOnePositionWithConcurrentWriters(long seed) {
    Random random = new Random(seed);
    RequestJob job = job(12);
    List<ResultPart> stored = new ArrayList<>();
    RequestJobProgress[] writers = {
      new RequestJobProgress(job), new RequestJobProgress(job), new RequestJobProgress(job)
    };
    for (int step = 0; step < 4000 && !isAllStored(stored); step++) {
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
        default -> write(writer, "w" + index, stored, random);
      }
    }
    List<String> positions =
        stored.stream().flatMap(part -> part.results().stream()).map(Result::item).toList();
    assertEquals(new HashSet<>(positions).size(), positions.size(), "an item has two results");
    assertEquals(positions.size(), 12);
    RequestJobProgress reader = new RequestJobProgress(job);
    for (int number = 0; number < stored.size(); number++) {
      reader.apply(number, stored.get(number));
    }
    assertEquals(reader.resultsFrom(0, MANY).stream().map(Result::item).toList(), positions);
  }

  private static boolean isAllStored(List<ResultPart> stored) {
    return stored.stream().mapToInt(part -> part.results().size()).sum() >= 12;
  }

  private static void write(
      RequestJobProgress writer, String author, List<ResultPart> stored, Random random) {
    Optional<ResultPart> next = nextPart(writer, author);
    if (next.isEmpty()) {
      return;
    }
    int number = writer.nextPartNumber();
    if (number == stored.size()) {
      stored.add(next.get());
    }
    if (random.nextInt(3) > 0) {
      // Otherwise the response is lost, and the writer retries later.
      writer.apply(number, stored.get(number));
    }
  }

  @Test
  public void owner_isNotAHostThatStartedAfterTheJob() {
    RequestJob job = job(1);
    for (int count = 0; count < 20; count++) {
      JobOwner.Candidate restarted = new JobOwner.Candidate(HostId.of("restarted" + count), 5000);
      JobOwner.Candidate running = new JobOwner.Candidate(HostId.of("running"), 10);
      assertEquals(
          JobOwner.of(job, ImmutableList.of(restarted, running)),
          Optional.of(HostId.of("running")));
      assertEquals(JobOwner.of(job, ImmutableList.of(restarted)), Optional.of(restarted.host()));
    }
  }
}
