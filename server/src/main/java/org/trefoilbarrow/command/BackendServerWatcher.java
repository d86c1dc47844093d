package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.state.ChangeBatch;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.state.ObjectPage;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.transport.forward.EventLog;
import org.trefoilbarrow.transport.forward.FleetDecoder;

/**
 * Keeps the backend servers of a {@link FleetView} in step with the entries at the platform.
 *
 * <p>Entries may expire while the platform is unavailable and are written again shortly after the
 * outage. Entries that are missing right after an outage are therefore retained for a time.
 */
final class BackendServerWatcher {
  /** How long a missing entry is retained after an outage, so that it can be written again. */
  private static final Duration OUTAGE_RETENTION = Duration.ofMillis(1900);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final EventLoop loop;
  private final FleetView fleet;
  private final FleetDecoder decoder;
  private final EventLog log;
  private final LongSupplier nanoClock;
  private final Runnable onChange;
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, BackendServerId> ids = new HashMap<>();
  private final Set<String> missingNames = new HashSet<>();
  private volatile boolean inOutage;
  private long outageEndNanos;

  BackendServerWatcher(
      EventLoop loop,
      FleetView fleet,
      FleetDecoder decoder,
      EventLog log,
      LongSupplier nanoClock,
      Runnable onChange) {
    this.loop = checkNotNull(loop, "loop");
    this.fleet = checkNotNull(fleet, "fleet");
    this.decoder = checkNotNull(decoder, "decoder");
    this.log = checkNotNull(log, "log");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.onChange = checkNotNull(onChange, "onChange");
    this.outageEndNanos = nanoClock.getAsLong() - OUTAGE_RETENTION.toNanos();
  }

  /** Records that the platform did not respond. */
  void onOutage() {
    inOutage = true;
  }

  void onSnapshot(ObjectPage page) {
    boolean outageEnded = inOutage;
    inOutage = false;
    loop.execute(
        () -> {
          recordOutageEnd(outageEnded);
          Set<String> listed = new HashSet<>();
          for (VersionedObject object : page.objects()) {
            listed.add(object.name());
            put(object.name(), object.version(), object.value());
          }
          for (String name : ImmutableList.copyOf(versions.keySet())) {
            if (!listed.contains(name)) {
              onMissing(name);
            }
          }
          onChange.run();
        });
  }

  void onChanges(ChangeBatch batch) {
    boolean outageEnded = inOutage;
    inOutage = false;
    loop.execute(
        () -> {
          recordOutageEnd(outageEnded);
          for (ObjectChange change : batch.changes()) {
            if (change.value().isPresent()) {
              put(change.name(), change.version(), change.value().get());
            } else {
              onMissing(change.name());
            }
          }
          if (!batch.changes().isEmpty()) {
            onChange.run();
          }
        });
  }

  private void recordOutageEnd(boolean outageEnded) {
    if (outageEnded) {
      outageEndNanos = nanoClock.getAsLong();
    }
  }

  private void put(String name, long version, String value) {
    missingNames.remove(name);
    Long known = versions.get(name);
    if (known != null && known >= version) {
      return;
    }
    versions.put(name, version);
    Optional<BackendServer> backend = decode(name, version, value);
    if (backend.isEmpty()) {
      log.add("fleet", "unusable entry", "backend", name, "version", version);
      removeFromFleet(name);
      return;
    }
    BackendServer current = backend.get();
    Optional<BackendServer> previous = fleet.backend(current.id());
    fleet.put(current);
    ids.put(name, current.id());
    if (previous.isEmpty() || previous.get().ready() != current.ready()) {
      log.add(
          "fleet",
          current.ready() ? "backend ready" : "backend leaves",
          "backend",
          name,
          "service",
          current.service(),
          "version",
          version);
    }
  }

  private Optional<BackendServer> decode(String name, long version, String value) {
    try {
      return decoder.decodeBackendServer(name, value, nanoClock.getAsLong());
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "fleet: entry \"%s\" at version %s cannot be decoded; ignoring it", name, version);
      return Optional.empty();
    }
  }

  private void onMissing(String name) {
    long remainingNanos = OUTAGE_RETENTION.toNanos() - (nanoClock.getAsLong() - outageEndNanos);
    if (remainingNanos > 0) {
      if (missingNames.add(name)) {
        loop.schedule(() -> removeIfStillMissing(name), remainingNanos, TimeUnit.NANOSECONDS);
      }
      return;
    }
    remove(name);
  }

  private void removeIfStillMissing(String name) {
    if (missingNames.remove(name)) {
      remove(name);
      onChange.run();
    }
  }

  private void remove(String name) {
    versions.remove(name);
    removeFromFleet(name);
    log.add("fleet", "backend gone", "backend", name);
  }

  private void removeFromFleet(String name) {
    BackendServerId id = ids.remove(name);
    if (id != null) {
      fleet.remove(id);
    }
  }
}
