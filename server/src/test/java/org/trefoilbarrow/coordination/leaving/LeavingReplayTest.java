package org.trefoilbarrow.coordination.leaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import org.trefoilbarrow.coordination.dispatch.Decision;
import org.trefoilbarrow.coordination.dispatch.Demand;
import org.trefoilbarrow.coordination.dispatch.DemandId;
import org.trefoilbarrow.coordination.dispatch.DispatchRules;
import org.trefoilbarrow.coordination.dispatch.Dispatcher;
import org.trefoilbarrow.coordination.dispatch.PlacementResult;
import org.trefoilbarrow.coordination.dispatch.RunReport;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.coordination.quarantine.QuarantineRules;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;

/**
 * Replays random sequences of sends, statements, restarts under the same identifier, partitions and
 * changes of the dispatching host, with the real decisions and no network.
 */
public final class LeavingReplayTest {
  private static final int SEEDS = 200;
  private static final int STEPS = 1500;
  private static final int HOSTS = 4;
  private static final int SERVERS = 5;
  private static final int SLOTS = 4;
  private static final long MILLI = 1_000_000;

  /** Longer than an entry takes to reach all hosts, and a response that is sent before that. */
  private static final long MIN_LIFE_MILLIS = 1200;

  private static final long MAX_VIEW_DELAY_MILLIS = 800;

  /** One start of a server. */
  private record Start(int server, long born) {}

  /** One seed's fleet. */
  private static final class Replay {
    final Random random;
    final List<Host> hosts = new ArrayList<>();
    final long[] born = new long[SERVERS];
    final boolean[] leaving = new boolean[SERVERS];
    final PriorityQueue<Event> events = new PriorityQueue<>();
    long now = MILLI;
    int dispatching;
    long calls;
    int sends;
    int statements;

    /** Something that happens later, such as the arrival of a response. */
    private record Event(long atNanos, long order, Runnable task) implements Comparable<Event> {
      @Override
      public int compareTo(Event other) {
        int byTime = Long.compare(atNanos, other.atNanos);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
      }
    }

    /** What one host knows. */
    private final class Host {
      final HostId id;
      final FleetView fleet = new FleetView();
      final LeavingServers servers = new LeavingServers();
      final Dispatcher dispatcher =
          new Dispatcher(
              fleet,
              DispatchRules.DEFAULT,
              random::nextDouble,
              new PartQuarantine(QuarantineRules.DEFAULT),
              servers);
      final Set<Start> received = new HashSet<>();
      boolean partitioned;

      Host(int number) {
        id = HostId.of("h-" + number);
      }

      Host dispatchedBy() {
        Host holder = hosts.get(dispatching);
        return partitioned || holder.partitioned ? this : holder;
      }

      void reportAll() {
        for (LeavingStatement known : servers.statements()) {
          dispatchedBy().servers.add(known);
        }
      }

      void receiveStatement(BackendServer listed, Start start) {
        received.add(start);
        LeavingStatement statement =
            new LeavingStatement(listed.id(), listed.bornMillis(), id, now);
        if (servers.add(statement)) {
          statements++;
          dispatchedBy().servers.add(statement);
        }
      }

      void request() {
        Host holder = dispatchedBy();
        Demand demand =
            new Demand(
                new DemandId(id, calls++),
                "s",
                Optional.empty(),
                0,
                random.nextInt(4) == 0,
                now + 100 * MILLI,
                now + 5000 * MILLI,
                random.nextBoolean(),
                ImmutableSet.of());
        ImmutableList<Decision> decisions = holder.dispatcher.submit(demand, now);
        Optional<Decision.Placed> placed =
            decisions.stream()
                .filter(Decision.Placed.class::isInstance)
                .map(Decision.Placed.class::cast)
                .findFirst();
        if (placed.isEmpty()) {
          holder.dispatcher.finished(demand.id(), PlacementResult.CANCELLED, RunReport.NONE, now);
          return;
        }
        assertNotReported(holder, placed.get().backend());
        BackendServer listed = fleet.backend(placed.get().backend()).orElseThrow();
        if (servers.isLeaving(listed)) {
          holder.dispatcher.finished(demand.id(), PlacementResult.LEAVING, RunReport.NONE, now);
        } else {
          send(holder, demand, listed);
        }
      }

      private void send(Host holder, Demand demand, BackendServer listed) {
        int server = numberOf(listed.id());
        Start start = new Start(server, born[server]);
        assertFalse(received.contains(start), id + " sends to " + start + " after its statement");
        sends++;
        after(
            random.nextInt(200),
            () -> {
              if (born[server] == start.born() && leaving[server]) {
                receiveStatement(listed, start);
              }
              holder.dispatcher.finished(
                  demand.id(), PlacementResult.ANSWERED, RunReport.of(true), now);
            });
      }

      /** A dispatching host places nothing at a start whose statement one that follows it got. */
      private void assertNotReported(Host holder, BackendServerId backend) {
        Start running = new Start(numberOf(backend), born[numberOf(backend)]);
        for (Host host : hosts) {
          if (host.dispatchedBy() == holder) {
            assertFalse(host.received.contains(running), holder.id + " places at " + running);
          }
        }
      }
    }

    Replay(long seed) {
      random = new Random(seed);
      for (int host = 0; host < HOSTS; host++) {
        hosts.add(new Host(host));
      }
      for (int server = 0; server < SERVERS; server++) {
        restart(server);
      }
      hosts.forEach(host -> IntStream.range(0, SERVERS).forEach(server -> list(host, server)));
    }

    private static int numberOf(BackendServerId id) {
      return Integer.parseInt(id.value());
    }

    private void after(long millis, Runnable task) {
      events.add(new Event(now + millis * MILLI, calls++, task));
    }

    /** Starts a server anew under its identifier; hosts read its entry at different times. */
    private void restart(int server) {
      born[server]++;
      leaving[server] = false;
      for (Host host : hosts) {
        after(random.nextLong(MAX_VIEW_DELAY_MILLIS), () -> list(host, server));
      }
      long start = born[server];
      after(
          MIN_LIFE_MILLIS + random.nextLong(4000),
          () -> leaving[server] = leaving[server] || born[server] == start);
    }

    private void list(Host host, int server) {
      host.fleet.put(
          new BackendServer(
              BackendServerId.of(Integer.toString(server)),
              "s",
              "10.0.0.1",
              80,
              FailureDomainId.of("d"),
              "v1",
              born[server],
              SLOTS,
              true,
              0));
    }

    private void step() {
      now += (1 + random.nextInt(20)) * MILLI;
      while (!events.isEmpty() && events.peek().atNanos() <= now) {
        events.poll().task().run();
      }
      Host host = hosts.get(random.nextInt(HOSTS));
      int server = random.nextInt(SERVERS);
      switch (random.nextInt(40)) {
        case 0 -> {
          dispatching = random.nextInt(HOSTS);
          hosts.forEach(Host::reportAll);
        }
        case 1 -> {
          host.partitioned = !host.partitioned;
          hosts.forEach(Host::reportAll);
        }
        case 2 -> {
          if (leaving[server]) {
            restart(server);
          }
        }
        // The old entry is written again, and still says ready.
        case 3 -> list(host, server);
        case 4 -> hosts.forEach(each -> each.servers.removeEnded(each.fleet, now));
        default -> host.request();
      }
    }

    /** Checks that each new start gets work in the end, whatever was reported before. */
    private void assertNewStartsGetWork() {
      hosts.forEach(host -> host.partitioned = false);
      for (int server = 0; server < SERVERS; server++) {
        restart(server);
      }
      now += MIN_LIFE_MILLIS * MILLI;
      hosts.forEach(host -> IntStream.range(0, SERVERS).forEach(server -> list(host, server)));
      for (Host host : hosts) {
        host.reportAll();
        host.servers.removeEnded(host.fleet, now);
        assertEquals(host.servers.count(), 0);
        host.fleet.backends().forEach(each -> assertFalse(host.servers.isLeaving(each)));
      }
    }
  }

  @Test
  public void noHostSendsToAServerAfterItsStatement() {
    int sends = 0;
    int statements = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      Replay replay = new Replay(seed);
      for (int step = 0; step < STEPS; step++) {
        replay.step();
      }
      replay.assertNewStartsGetWork();
      sends += replay.sends;
      statements += replay.statements;
    }
    // The replay reaches what it checks.
    assertTrue(sends > SEEDS * 100, "only " + sends + " sends");
    assertTrue(statements > SEEDS * 5, "only " + statements + " statements");
  }
}
