package org.trefoilbarrow.coordination.leaving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;

/**
 * The backend servers that have stated that they are leaving, by identifier and start.
 *
 * <p>A statement holds until the server starts anew or its entry has been missing for {@link
 * #RETENTION}, since entries may expire in an outage of the platform and be written again. If the
 * time of its start is unknown, a new start cannot be recognised; the statement then holds for
 * {@link #RETENTION} after the last response with it.
 *
 * <p>Not thread-safe.
 */
public final class LeavingServers {
  /** Longer than any server takes to drain, and than an outage keeps its entry away. */
  static final Duration RETENTION = Duration.ofSeconds(60);

  /** More than the backend servers of the largest fleet. */
  static final int MAX_STATEMENTS = 4096;

  /** In the order of the last responses; the first is evicted first. */
  private final Map<BackendServerId, Entry> entries = new LinkedHashMap<>();

  private long startCount;

  /** The newest statement of a server, and when the platform last listed the server. */
  private record Entry(LeavingStatement statement, long lastListedNanos) {
    long endNanos() {
      long fromNanos = statement.isStartKnown() ? lastListedNanos : statement.statedNanos();
      return fromNanos + RETENTION.toNanos();
    }
  }

  /**
   * Records a statement, unless a later start of the server is known to leave.
   *
   * @return whether it is the first one of this start of the server
   */
  public boolean add(LeavingStatement statement) {
    checkNotNull(statement, "statement");
    Entry known = entries.get(statement.backend());
    if (known == null || statement.bornMillis() > known.statement.bornMillis()) {
      put(new Entry(statement, statement.statedNanos()));
      startCount++;
      return true;
    }
    boolean isNewer = statement.statedNanos() - known.statement.statedNanos() > 0;
    if (isNewer && statement.bornMillis() == known.statement.bornMillis()) {
      put(new Entry(statement, Math.max(known.lastListedNanos, statement.statedNanos())));
    }
    return false;
  }

  private void put(Entry entry) {
    entries.remove(entry.statement.backend());
    entries.put(entry.statement.backend(), entry);
    if (entries.size() > MAX_STATEMENTS) {
      entries.remove(entries.keySet().iterator().next());
    }
  }

  /** Returns whether this start of a server, or a later one, has stated that it is leaving. */
  public boolean isLeaving(BackendServer server) {
    Entry entry = entries.get(server.id());
    return entry != null && server.bornMillis() <= entry.statement.bornMillis();
  }

  /** Removes the statements that have ended, and returns them. */
  public ImmutableList<LeavingStatement> removeEnded(FleetView fleet, long nowNanos) {
    ImmutableList.Builder<LeavingStatement> ended = ImmutableList.builder();
    for (Iterator<Map.Entry<BackendServerId, Entry>> all = entries.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<BackendServerId, Entry> next = all.next();
      LeavingStatement statement = next.getValue().statement;
      Optional<BackendServer> listed = fleet.backend(next.getKey());
      if (listed.isPresent()) {
        next.setValue(new Entry(statement, nowNanos));
      }
      if (listed.filter(server -> !isLeaving(server)).isPresent()
          || nowNanos - next.getValue().endNanos() >= 0) {
        all.remove();
        ended.add(statement);
      }
    }
    return ended.build();
  }

  /** Returns the statements that hold. */
  public ImmutableList<LeavingStatement> statements() {
    return entries.values().stream().map(Entry::statement).collect(ImmutableList.toImmutableList());
  }

  /** Returns the number of servers whose statements hold. */
  public int count() {
    return entries.size();
  }

  /** Returns the number of starts of servers for which a statement was recorded. */
  public long startCount() {
    return startCount;
  }
}
