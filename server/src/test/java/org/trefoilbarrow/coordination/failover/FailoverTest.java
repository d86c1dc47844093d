package org.trefoilbarrow.coordination.failover;

import static org.testng.Assert.assertEquals;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.state.fleet.Route;
import org.trefoilbarrow.state.fleet.Route.RequestKind;

/** Replays sequences of what happens to a request; each line is a time in ms, an event, a step. */
public final class FailoverTest {
  private static final long DEADLINE_MILLIS = 5000;
  private static final long RETRY_DELAY_MILLIS = 100;

  /** The route's response target is 300 ms, its longest event gap 400 ms. */
  private static Route route(RequestKind kind, int maxAttempts) {
    return new Route(
        "r",
        "h.example",
        "/r/",
        kind,
        DEADLINE_MILLIS,
        300,
        0,
        ImmutableList.of(new Route.WeightedTarget("s", 1)),
        maxAttempts,
        true,
        400,
        0,
        0);
  }

  private static Failover.Step apply(Failover failover, String event, long nowNanos) {
    return switch (event) {
      case "start" -> failover.start();
      case "assigned" -> failover.slotAssigned(nowNanos);
      case "refused" ->
          failover.slotRefused(Duration.ofMillis(RETRY_DELAY_MILLIS).toNanos(), nowNanos);
      case "event" -> {
        Failover.Step step = failover.progressed(true, nowNanos);
        failover.responseStarted();
        yield step;
      }
      case "check" -> failover.check(nowNanos);
      case "lost" -> failover.attemptLost(nowNanos);
      case "notRun" -> failover.attemptNotRun(nowNanos);
      case "moreTime" -> {
        failover.extendDeadline(nowNanos + Duration.ofMillis(DEADLINE_MILLIS).toNanos());
        yield Failover.Step.NONE;
      }
      default -> throw new IllegalArgumentException("unknown event \"" + event + "\"");
    };
  }

  private static final String BEGUN =
      "0 start REQUEST_SLOT; 1 assigned SEND; 100 event NONE; 500 check NONE; ";
  private static final String SILENT = BEGUN + "601 check REQUEST_SLOT; ";
  private static final String MOVED = SILENT + "610 assigned MOVE; ";

  @DataProvider
  public Object[][] sequences() {
    RequestKind stream = RequestKind.STREAM_RESUMABLE;
    RequestKind plain = RequestKind.IDEMPOTENT;
    return new Object[][] {
      {"goes on", stream, 2, SILENT + "700 event WITHDRAW_REQUEST; 1201 check REQUEST_SLOT"},
      {"one request at a time", stream, 2, SILENT + "2000 check NONE"},
      {"kept when refused", stream, 2, SILENT + "900 refused NONE; 1500 event NONE"},
      {
        "asks again after a refusal",
        stream,
        2,
        SILENT + "900 refused NONE; 1399 check NONE; 1401 check REQUEST_SLOT"
      },
      {"moved once a slot is there", stream, 2, MOVED + "5000 check NONE"},
      {"moved twice", stream, 3, MOVED + "1211 check REQUEST_SLOT; 1220 assigned MOVE"},
      {"breaks while silent", stream, 2, SILENT + "700 lost NONE; 710 assigned SEND"},
      {"breaks after a refusal", stream, 2, SILENT + "900 refused NONE; 910 lost REQUEST_SLOT"},
      {
        "rejected after the move and refused",
        stream,
        2,
        MOVED
            + "620 notRun REQUEST_SLOT; 700 refused NONE; 799 check NONE;"
            + "800 check REQUEST_SLOT; 810 assigned SEND"
      },
      {"no time to ask", stream, 2, BEGUN + "4996 check NONE"},
      {"no time to move", stream, 2, SILENT + "4996 assigned WITHDRAW_REQUEST; 4998 event NONE"},
      {"more time", stream, 2, SILENT + "4990 moreTime NONE; 4996 assigned MOVE"},
      {"assigned too late", stream, 2, "0 start REQUEST_SLOT; 4996 assigned EXPIRE"},
      {"broken once too often", stream, 2, MOVED + "700 lost FAIL"},
      {"one attempt", stream, 1, BEGUN + "3000 check NONE; 3001 lost FAIL"},
      {"must not run twice", RequestKind.ONCE, 2, BEGUN + "3000 check NONE; 3001 lost FAIL"},
      {"refused before a run", plain, 2, "0 start REQUEST_SLOT; 9 refused REFUSE"},
      {
        "refused after a lost run",
        plain,
        2,
        "0 start REQUEST_SLOT; 1 assigned SEND; 9 lost REQUEST_SLOT; 19 refused FAIL"
      },
      {
        "silent before the response",
        plain,
        2,
        "0 start REQUEST_SLOT; 1 assigned SEND; 601 check NONE; 602 check REQUEST_SLOT;"
            + "700 refused NONE; 1300 check REQUEST_SLOT; 1310 assigned MOVE"
      },
      {
        "not run anywhere",
        plain,
        2,
        "0 start REQUEST_SLOT; 1 assigned SEND; 2 notRun REQUEST_SLOT; 3 assigned SEND;"
            + "4 notRun REQUEST_SLOT; 5 assigned SEND; 6 notRun REQUEST_SLOT; 7 assigned SEND;"
            + "8 notRun REFUSE"
      }
    };
  }

  @Test(dataProvider = "sequences")
  public void silentAttemptIsGivenUpOnlyForAnotherOne(
      String name, RequestKind kind, int maxAttempts, String sequence) {
    Failover failover =
        new Failover(route(kind, maxAttempts), 0, Duration.ofMillis(DEADLINE_MILLIS).toNanos());
    for (String line : Splitter.on(';').trimResults().omitEmptyStrings().split(sequence)) {
      List<String> parts = Splitter.on(' ').splitToList(line);
      long nowNanos = Duration.ofMillis(Long.parseLong(parts.get(0))).toNanos();
      assertEquals(
          apply(failover, parts.get(1), nowNanos).name(), parts.get(2), name + ", " + line);
    }
  }
}
