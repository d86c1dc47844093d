package org.trefoilbarrow.coordination.dispatch;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.dispatch.LoadReplay.Events;
import org.trefoilbarrow.coordination.dispatch.LoadReplay.Load;
import org.trefoilbarrow.coordination.dispatch.LoadReplay.Request;
import org.trefoilbarrow.coordination.dispatch.LoadReplay.Window;

/**
 * Guards against one organisation that makes the requests of all others late, and against classes
 * of requests that are served less often than others.
 */
public final class FairSharesTest {
  private static final int SECONDS = 27;
  private static final int SEEDS = 2;
  private static final Window HOT = new Window(12_000, 18_000);

  /** Requests that arrive so long after the hot ones began can be delayed by them. */
  private static final long ONSET_MILLIS = 500;

  /**
   * Without a dispatching host, the servers' own queues serve all organisations alike, and are full
   * for a while after it has returned. These times are left out.
   */
  private static final long RETURN_MILLIS = 1000;

  /** The largest tenth of the requests, which have exponentially distributed lengths. */
  private static final int LARGE_TOKENS = 575;

  private static final ImmutableList<Double> NOBODY = ImmutableList.of();

  @DataProvider
  public Object[][] plans() {
    List<Object[]> plans = new ArrayList<>();
    for (Load load : List.of(Load.FIRST, Load.SECOND)) {
      for (ImmutableList<Double> hot : List.of(ImmutableList.of(7.5), ImmutableList.of(4.6, 4.6))) {
        for (Window lost : List.of(Window.NEVER, new Window(15_000, 17_000))) {
          for (Window idle : List.of(Window.NEVER, new Window(0, 14_000))) {
            plans.add(new Object[] {load, new Events(hot, HOT, lost, idle)});
          }
        }
      }
    }
    return plans.toArray(new Object[0][]);
  }

  /** The order before fair shares, by priority and objective, is the baseline of each seed. */
  @Test(dataProvider = "plans")
  public void othersAreServedAsWithoutTheHotOrganisations(Load load, Events plan) {
    Events calm = new Events(NOBODY, Window.NEVER, plan.lost(), plan.idle());
    Window afterLoss = new Window(plan.lost().from(), plan.lost().to() + RETURN_MILLIS);
    Predicate<Request> others =
        request ->
            request.organisation >= plan.hot().size()
                && HOT.contains(request.atMillis - ONSET_MILLIS)
                && !afterLoss.contains(request.atMillis);
    for (int seed = 0; seed < SEEDS; seed++) {
      ImmutableList<Request> fair = new LoadReplay(load, plan, true, seed).run(SECONDS);
      ImmutableList<Request> baseline = new LoadReplay(load, plan, false, seed).run(SECONDS);
      ImmutableList<Request> undisturbed = new LoadReplay(load, calm, true, seed).run(SECONDS);
      double othersOnTime = onTime(fair, others);
      String figures =
          String.format(
              "seed %d: others on time %.4f, without the hot ones %.4f, baseline %.4f; all %.4f",
              seed,
              othersOnTime,
              onTime(undisturbed, others),
              onTime(baseline, others),
              onTime(fair, request -> true));
      assertTrue(othersOnTime >= 0.95 * onTime(undisturbed, others), figures);
      assertTrue(othersOnTime >= onTime(baseline, others) - 0.01, figures);
      double mean = onTime(fair, request -> true);
      for (int domain = 0; domain < load.domains(); domain++) {
        int of = domain;
        assertTrue(onTime(fair, request -> request.domain == of) >= 0.95 * mean, figures);
      }
      assertTrue(onTime(fair, request -> request.tokens > LARGE_TOKENS) >= 0.9 * mean, figures);
      long twice = fair.stream().filter(request -> request.refusals > 1).count();
      assertTrue(twice < 0.01 * fair.size(), twice + " refused twice of " + fair.size());
    }
  }

  private static double onTime(List<Request> requests, Predicate<Request> of) {
    List<Request> selected = requests.stream().filter(of).toList();
    return selected.stream().filter(request -> request.onTime).count() / (double) selected.size();
  }
}
