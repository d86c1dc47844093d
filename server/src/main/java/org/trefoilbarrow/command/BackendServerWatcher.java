package org.trefoilbarrow.command;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
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
 * Keeps the backend servers of a {@link FleetView} equal to the platform's list. Entries may lapse
 * while the platform is away and come back shortly after it: what is missing just after an outage
 * is kept for that time.
 */
final class BackendServerWatcher {
  /** How long after an outage a missing entry is kept: the time in which entries come back. */
  private static final Duration KEPT_AFTER_OUTAGE = Duration.ofMillis(1900);

  private final EventLoop loop;
  private final FleetView fleet;
  private final FleetDecoder decoder;
  private final EventLog log;
  private final LongSupplier nanoClock;
  private final Runnable onChange;
  private final Map<String, Long> versions = new HashMap<>();
  private final Map<String, BackendServerId> ids = new HashMap<>();
  private final Set<String> missing = new HashSet<>();
  private volatile boolean outage;
  private long regainedNanos;

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
    this.regainedNanos = nanoClock.getAsLong() - KEPT_AFTER_OUTAGE.toNanos();
  }

  /** The platform did not answer. */
  void onOutage() {
    outage = true;
  }

  void onWhole(ObjectPage page) {
    boolean regained = outage;
    outage = false;
    loop.execute(
        () -> {
          noteRegained(regained);
          Set<String> listed = new HashSet<>();
          for (VersionedObject object : page.objects()) {
            listed.add(object.name());
            put(object.name(), object.version(), object.value());
          }
          for (String name : ImmutableList.copyOf(versions.keySet())) {
            if (!listed.contains(name)) {
              removed(name);
            }
          }
          onChange.run();
        });
  }

  void onChanges(ChangeBatch batch) {
    boolean regained = outage;
    outage = false;
    loop.execute(
        () -> {
          noteRegained(regained);
          for (ObjectChange change : batch.changes()) {
            if (change.value().isPresent()) {
              put(change.name(), change.version(), change.value().get());
            } else {
              removed(change.name());
            }
          }
          if (!batch.changes().isEmpty()) {
            onChange.run();
          }
        });
  }

  private void noteRegained(boolean regained) {
    if (regained) {
      regainedNanos = nanoClock.getAsLong();
    }
  }

  private void put(String name, long version, String value) {
    missing.remove(name);
    Long known = versions.get(name);
    if (known != null && known >= version) {
      return;
    }
    versions.put(name, version);
    Optional<BackendServer> backend =
        decoder.decodeBackendServer(name, value, nanoClock.getAsLong());
    if (backend.isEmpty()) {
      log.add("fleet", "unusable entry", "backend", name, "version", version);
      forget(name);
      return;
    }
    BackendServer found = backend.get();
    Optional<BackendServer> before = fleet.backend(found.id());
    fleet.put(found);
    ids.put(name, found.id());
    if (before.isEmpty() || before.get().ready() != found.ready()) {
      log.add(
          "fleet",
          found.ready() ? "backend ready" : "backend leaves",
          "backend",
          name,
          "service",
          found.service(),
          "version",
          version);
    }
  }

  private void removed(String name) {
    long kept = KEPT_AFTER_OUTAGE.toNanos() - (nanoClock.getAsLong() - regainedNanos);
    if (kept > 0) {
      if (missing.add(name)) {
        loop.schedule(() -> removeIfMissing(name), kept, TimeUnit.NANOSECONDS);
      }
      return;
    }
    remove(name);
  }

  private void removeIfMissing(String name) {
    if (missing.remove(name)) {
      remove(name);
      onChange.run();
    }
  }

  private void remove(String name) {
    versions.remove(name);
    forget(name);
    log.add("fleet", "backend gone", "backend", name);
  }

  private void forget(String name) {
    BackendServerId id = ids.remove(name);
    if (id != null) {
      fleet.remove(id);
    }
  }
}
