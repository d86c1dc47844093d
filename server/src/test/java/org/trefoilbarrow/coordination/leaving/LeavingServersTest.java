package org.trefoilbarrow.coordination.leaving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;

public final class LeavingServersTest {
  private static final long RETENTION = LeavingServers.RETENTION.toNanos();
  private static final long UNKNOWN = 0;

  private LeavingServers servers;
  private FleetView fleet;

  @BeforeMethod
  public void createServers() {
    servers = new LeavingServers();
    fleet = new FleetView();
  }

  private static BackendServer server(String id, long bornMillis) {
    return new BackendServer(
        BackendServerId.of(id),
        "s",
        "10.0.0.1",
        80,
        FailureDomainId.of("d"),
        "v1",
        bornMillis,
        4,
        true,
        0);
  }

  private static LeavingStatement statement(String id, long bornMillis, long nanos) {
    return new LeavingStatement(BackendServerId.of(id), bornMillis, HostId.of("h"), nanos);
  }

  /** Each row: the start that made the statement, a listed start, whether it is leaving. */
  @DataProvider
  public Object[][] starts() {
    return new Object[][] {
      {100L, 100L, true},
      {100L, 101L, false},
      {100L, 99L, true},
      {UNKNOWN, UNKNOWN, true},
      {UNKNOWN, 100L, false},
      {100L, UNKNOWN, true},
    };
  }

  @Test(dataProvider = "starts")
  public void isLeaving_holdsUntilALaterStart(long stated, long listed, boolean leaving) {
    servers.add(statement("a", stated, 0));
    assertEquals(servers.isLeaving(server("a", listed)), leaving);
    assertFalse(servers.isLeaving(server("b", listed)));
  }

  @Test
  public void add_returnsWhetherTheStatementIsTheFirstOfAStart() {
    assertTrue(servers.add(statement("a", 100, 0)));
    assertFalse(servers.add(statement("a", 100, 5)));
    assertTrue(servers.add(statement("a", 200, 10)));
    // A late response of the earlier start says nothing about the later one.
    assertFalse(servers.add(statement("a", 100, 15)));
    assertTrue(servers.isLeaving(server("a", 200)));
    assertEquals(servers.startCount(), 2);
    assertEquals(servers.statements(), ImmutableList.of(statement("a", 200, 10)));
  }

  /** An entry that was read later, and said ready, made the server usable again. */
  @Test
  public void removeEnded_keepsTheStatementWhileItsStartIsListed() {
    servers.add(statement("a", 100, 0));
    fleet.put(server("a", 100));
    for (long now = 0; now < 5 * RETENTION; now += RETENTION / 2) {
      assertEquals(servers.removeEnded(fleet, now), ImmutableList.of());
    }
    fleet.put(server("a", 101));
    assertEquals(servers.removeEnded(fleet, 5 * RETENTION).size(), 1);
    assertEquals(servers.count(), 0);
  }

  /** Entries expire in an outage of the platform, and the same start writes its entry again. */
  @Test
  public void removeEnded_keepsTheStatementWhileTheEntryIsMissingForAShortTime() {
    servers.add(statement("a", 100, 0));
    fleet.put(server("a", 100));
    servers.removeEnded(fleet, RETENTION);
    fleet.remove(BackendServerId.of("a"));
    assertEquals(servers.removeEnded(fleet, 2 * RETENTION - 1).size(), 0);
    assertTrue(servers.isLeaving(server("a", 100)));
    assertEquals(servers.removeEnded(fleet, 2 * RETENTION).size(), 1);
  }

  /** Without the time of its start, a server that started anew would stay unused for good. */
  @Test
  public void removeEnded_endsAStatementOfAnUnknownStartUnlessItIsMadeAgain() {
    servers.add(statement("a", UNKNOWN, 0));
    fleet.put(server("a", UNKNOWN));
    assertFalse(servers.add(statement("a", UNKNOWN, RETENTION / 2)));
    assertEquals(servers.removeEnded(fleet, RETENTION).size(), 0);
    assertEquals(servers.removeEnded(fleet, RETENTION + RETENTION / 2).size(), 1);
    assertFalse(servers.isLeaving(server("a", UNKNOWN)));
  }

  @Test
  public void add_boundsTheNumberOfStatements() {
    for (int server = 0; server < 2 * LeavingServers.MAX_STATEMENTS; server++) {
      servers.add(statement("b-" + server, 100, server));
    }
    assertEquals(servers.count(), LeavingServers.MAX_STATEMENTS);
    assertFalse(servers.isLeaving(server("b-0", 100)));
  }
}
