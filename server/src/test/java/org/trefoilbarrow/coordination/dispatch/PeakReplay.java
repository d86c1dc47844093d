package org.trefoilbarrow.coordination.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.trefoilbarrow.protocol.HostId;

/**
 * Simulates randomly drawn arrivals with load peaks against a dispatcher; run times are drawn too.
 */
final class PeakReplay {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final double TROUGH_RATE = 11;
  private static final double PEAK_RATE = 54;
  private static final double ONLINE_SECONDS = 0.73;
  static final double ITEM_SECONDS = 4.9;

  /** The mean number of online requests in progress, over troughs and peaks. */
  static final double MEAN_ONLINE_IN_PROGRESS =
      (0.6 * TROUGH_RATE + 0.4 * PEAK_RATE) * ONLINE_SECONDS;

  private static final long OBJECTIVE_MILLIS = 225;
  private static final long DUE_MILLIS = 18_000;

  private final Dispatcher dispatcher;
  private final String service;
  private final double itemRate;
  private final Random random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<DemandId, Work> works = new HashMap<>();
  private long nextCall;
  private long sequence;
  private int submitted;
  private int onTime;
  private int itemsDone;
  private int itemsOnTime;

  /** The number of online requests and items that were submitted, placed in time or done. */
  record Outcome(int submitted, int onTime, int itemsDone, int itemsOnTime) {}

  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private static final class Work {
    boolean batch;
    long objective;
    double secondsLeft;
    double secondsRun;
    long placedAt;
    int placementNumber;
  }

  PeakReplay(Dispatcher dispatcher, String service, double itemRate, long seed) {
    this.itemRate = itemRate;
    this.dispatcher = dispatcher;
    this.service = service;
    this.random = new Random(seed);
  }

  Outcome run(int seconds) {
    for (long millis = 0; millis < seconds * 1000L; millis++) {
      long now = millis * MILLI;
      boolean peak = millis % 6000 >= 3600;
      if (random.nextDouble() < (peak ? PEAK_RATE : TROUGH_RATE) / 1000) {
        at(now, () -> submit(now, false, ONLINE_SECONDS * (0.5 + random.nextDouble())));
        submitted++;
      }
      if (random.nextDouble() < itemRate / 1000) {
        at(now, () -> submit(now, true, ITEM_SECONDS * (0.5 + random.nextDouble())));
      }
      if (millis % 50 == 0) {
        at(now, () -> apply(dispatcher.tick(now), now));
      }
    }
    while (!events.isEmpty()) {
      events.poll().action().run();
    }
    return new Outcome(submitted, onTime, itemsDone, itemsOnTime);
  }

  private void at(long time, Runnable action) {
    events.add(new Event(time, sequence++, action));
  }

  private void submit(long now, boolean batch, double seconds) {
    Work work = new Work();
    work.batch = batch;
    work.secondsLeft = seconds;
    work.objective = now + (batch ? DUE_MILLIS : OBJECTIVE_MILLIS) * MILLI;
    submit(work, now);
  }

  private void submit(Work work, long now) {
    DemandId id = new DemandId(HostId.of(work.batch ? "jobs" : "callers"), nextCall++);
    works.put(id, work);
    Demand demand =
        new Demand(
            id,
            service,
            Optional.empty(),
            work.batch ? 2 : 0,
            work.batch,
            work.objective - expectedNanos(work),
            now + 5 * SECOND,
            work.batch,
            ImmutableSet.of());
    apply(dispatcher.submit(demand, now), now);
  }

  /** Estimates from the mean, since the run time of an item isn't known before it ends. */
  private static long expectedNanos(Work work) {
    double expected = Math.max(0.2 * ITEM_SECONDS, ITEM_SECONDS - work.secondsRun);
    return work.batch ? (long) (expected * SECOND) : 0;
  }

  private void apply(List<Decision> decisions, long now) {
    for (Decision decision : decisions) {
      Work work = works.get(decision.demand());
      if (decision instanceof Decision.Placed) {
        work.placedAt = now;
        work.placementNumber++;
        onTime += !work.batch && now <= work.objective ? 1 : 0;
        int placementNumber = work.placementNumber;
        long end = now + (long) (work.secondsLeft * SECOND);
        at(end, () -> end(decision.demand(), work, placementNumber, end));
      } else if (decision instanceof Decision.Revoked) {
        work.placementNumber++;
        work.secondsLeft -= (now - work.placedAt) / (double) SECOND;
        work.secondsRun += (now - work.placedAt) / (double) SECOND;
        at(now + 2 * MILLI, () -> interrupt(decision.demand(), work, now + 2 * MILLI));
      }
    }
  }

  private void end(DemandId id, Work work, int placementNumber, long now) {
    if (work.placementNumber == placementNumber) {
      itemsDone += work.batch ? 1 : 0;
      itemsOnTime += work.batch && now <= work.objective ? 1 : 0;
      apply(dispatcher.finished(id, PlacementResult.ANSWERED, RunReport.of(false), now), now);
    }
  }

  private void interrupt(DemandId id, Work work, long now) {
    apply(dispatcher.finished(id, PlacementResult.CANCELLED, RunReport.of(false), now), now);
    submit(work, now);
  }
}
