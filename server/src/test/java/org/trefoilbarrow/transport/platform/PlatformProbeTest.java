package org.trefoilbarrow.transport.platform;

import static org.testng.Assert.assertEquals;

import com.google.common.base.Throwables;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.state.PlatformException;

public final class PlatformProbeTest {

  @DataProvider
  public Object[][] answers() {
    return new Object[][] {
      {List.of(true, true), List.of()},
      {List.of(true, false, false), List.of("lost")},
      {List.of(false, true, true), List.of("lost", "regained")},
      {List.of(false, true, false, true), List.of("lost", "regained", "lost", "regained")}
    };
  }

  @Test(dataProvider = "answers")
  public void eachLossAndEachRecoveryIsReportedOnce(List<Boolean> answers, List<String> expected) {
    AtomicBoolean answering = new AtomicBoolean();
    List<String> reported = new ArrayList<>();
    PlatformProbe probe =
        new PlatformProbe(
            () -> PlatformProbe.INTERVAL,
            () -> {
              if (!answering.get()) {
                throw new PlatformException("no answer", null, false);
              }
            },
            () -> reported.add("lost"),
            () -> reported.add("regained"));
    for (boolean answer : answers) {
      answering.set(answer);
      probe.probe();
    }
    assertEquals(reported, expected);
  }

  @DataProvider
  public Object[][] failures() {
    return new Object[][] {
      {new IllegalStateException("the request cannot be made")},
      {new StackOverflowError("the response is too deep")}
    };
  }

  @Test(dataProvider = "failures")
  public void unexpectedFailureOfTheRequestDoesNotEndTheProbe(Throwable failure) {
    List<String> reported = new ArrayList<>();
    AtomicBoolean failing = new AtomicBoolean(true);
    PlatformProbe probe =
        new PlatformProbe(
            () -> PlatformProbe.INTERVAL,
            () -> {
              if (failing.get()) {
                Throwables.throwIfUnchecked(failure);
              }
            },
            () -> reported.add("lost"),
            () -> reported.add("regained"));
    probe.probe();
    failing.set(false);
    probe.probe();
    assertEquals(reported, List.of("lost", "regained"));
  }
}
