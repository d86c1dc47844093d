package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.Iterables;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.MoreExecutors;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.quarantine.QuarantineChange;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.PromptPartId;
import org.trefoilbarrow.protocol.QuarantineRecord;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;
import org.trefoilbarrow.transport.forward.EventLog;

/**
 * Keeps quarantines at the platform, as one object each, so that hosts that start later and the
 * next dispatching host know them. The host that decides writes the object; the dispatching host
 * deletes it when the probation is over; an operator deletes it to lift the quarantine. Used on the
 * event loop's thread; calls run on the executor.
 */
public final class QuarantineStore implements QuarantineListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int WRITE_ATTEMPTS = 3;
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final long NANOS_IN_MILLI = 1_000_000;

  private final EventLoop loop;
  private final HostId self;
  private final PlacementClient placements;
  private final Platform platform;
  private final ConfirmedWrites writes;
  private final Executor calls;
  private final LongSupplier nanoClock;
  private final LongSupplier milliClock;
  private final EventLog log;

  /** The quarantines that this host has decided on and the platform has not confirmed. */
  private final Map<PromptPartId, QuarantineRecord> unwritten = new HashMap<>();

  /** The parts that this host has cleared and whose deletion the platform has not confirmed. */
  private final Set<PromptPartId> undeleted = new HashSet<>();

  /** Creates a store at the given platform. */
  public QuarantineStore(
      EventLoop loop,
      HostId self,
      PlacementClient placements,
      Platform platform,
      Executor calls,
      LongSupplier nanoClock,
      LongSupplier milliClock,
      EventLog log) {
    this.loop = checkNotNull(loop, "loop");
    this.self = checkNotNull(self, "self");
    this.placements = checkNotNull(placements, "placements");
    this.platform = checkNotNull(platform, "platform");
    this.writes = new ConfirmedWrites(platform, (Duration time) -> Thread.sleep(time.toMillis()));
    // A part that is cleared at once must not be written after its object was deleted.
    this.calls = MoreExecutors.newSequentialExecutor(checkNotNull(calls, "calls"));
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.milliClock = checkNotNull(milliClock, "milliClock");
    this.log = checkNotNull(log, "log");
  }

  @Override
  public void changed(QuarantineChange change) {
    log(change);
    switch (change.kind()) {
      case STARTED, RENEWED -> {
        QuarantineRecord record = toRecord(change);
        undeleted.remove(change.part());
        unwritten.put(change.part(), record);
        write(record);
      }
      case CLEARED, PROBATION_ENDED -> {
        unwritten.remove(change.part());
        if (placements.isDispatching()) {
          undeleted.add(change.part());
          delete(change.part());
        }
      }
      case ENDED -> unwritten.remove(change.part());
    }
  }

  /** Adopts a quarantine that the platform has. */
  public void onPut(VersionedObject object) {
    QuarantineRecord record;
    try {
      record = JsonCodec.decode(object.value(), QuarantineRecord.class);
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log(
          "quarantine: object \"%s\" is unreadable and is ignored", object.name());
      return;
    }
    unwritten.remove(record.part());
    long remainingMillis =
        Math.min(record.durationMillis(), record.untilMillis() - milliClock.getAsLong());
    log.add(
        "quarantine",
        "known",
        "part",
        record.part(),
        "remainingMillis",
        remainingMillis,
        "decidedBy",
        record.host());
    placements.adoptQuarantine(
        record.part(),
        TimeUnit.MILLISECONDS.toNanos(record.durationMillis()),
        TimeUnit.MILLISECONDS.toNanos(remainingMillis));
  }

  /** Lifts a quarantine whose object was deleted. */
  public void onDelete(String name) {
    log.add("quarantine", "lifted", "part", name);
    placements.liftQuarantine(PromptPartId.of(name));
  }

  private QuarantineRecord toRecord(QuarantineChange change) {
    long now = milliClock.getAsLong();
    long nanos = nanoClock.getAsLong();
    long lastEndNanos =
        change.evidence().isEmpty() ? nanos : Iterables.getLast(change.evidence()).endNanos();
    return new QuarantineRecord(
        change.part(),
        change.durationNanos() / NANOS_IN_MILLI,
        now + (change.untilNanos() - nanos) / NANOS_IN_MILLI,
        change.evidence().size(),
        now - (nanos - lastEndNanos) / NANOS_IN_MILLI,
        self);
  }

  private void log(QuarantineChange change) {
    long now = nanoClock.getAsLong();
    StringBuilder ends = new StringBuilder();
    for (QuarantineChange.Evidence end : change.evidence()) {
      ends.append(end.backend())
          .append(" ended ")
          .append((now - end.endNanos()) / NANOS_IN_MILLI)
          .append(" ms ago, seen by ")
          .append(end.hosts())
          .append("; ");
    }
    log.add(
        "quarantine",
        change.kind().name().toLowerCase(Locale.ROOT),
        "part",
        change.part(),
        "remainingMillis",
        (change.untilNanos() - now) / NANOS_IN_MILLI,
        "ends",
        ends.toString().trim());
  }

  private void write(QuarantineRecord record) {
    calls.execute(
        () -> {
          boolean written = tryWrite(record);
          loop.execute(() -> onWritten(record, written));
        });
  }

  private void onWritten(QuarantineRecord record, boolean written) {
    if (written) {
      unwritten.remove(record.part(), record);
    } else if (record.equals(unwritten.get(record.part()))) {
      loop.schedule(
          () -> {
            if (record.equals(unwritten.get(record.part()))) {
              write(record);
            }
          },
          RETRY_DELAY.toMillis(),
          TimeUnit.MILLISECONDS);
    }
  }

  private boolean tryWrite(QuarantineRecord record) {
    String name = record.part().value();
    try {
      Optional<VersionedObject> current = platform.read(ObjectKind.QUARANTINED_PART, name);
      if (current.filter(object -> isAsLong(object, record)).isPresent()) {
        return true;
      }
      WriteOutcome outcome =
          writes.write(
              ObjectKind.QUARANTINED_PART,
              name,
              current.map(VersionedObject::version).orElse(Platform.ABSENT),
              JsonCodec.encode(record),
              WRITE_ATTEMPTS);
      return outcome.isApplied();
    } catch (PlatformException e) {
      logger.atInfo().log(
          "quarantine: platform did not confirm part %s; retrying: %s", name, e.getMessage());
      return false;
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("quarantine: cannot write part %s; retrying", name);
      return false;
    }
  }

  private static boolean isAsLong(VersionedObject object, QuarantineRecord record) {
    return JsonCodec.decode(object.value(), QuarantineRecord.class).untilMillis()
        >= record.untilMillis();
  }

  private void delete(PromptPartId part) {
    calls.execute(
        () -> {
          boolean deleted = tryDelete(part);
          loop.execute(() -> onDeleted(part, deleted));
        });
  }

  private void onDeleted(PromptPartId part, boolean deleted) {
    if (deleted) {
      undeleted.remove(part);
    } else if (undeleted.contains(part)) {
      loop.schedule(() -> deleteAgain(part), RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void deleteAgain(PromptPartId part) {
    if (undeleted.contains(part)) {
      delete(part);
    }
  }

  private boolean tryDelete(PromptPartId part) {
    try {
      Optional<VersionedObject> current = platform.read(ObjectKind.QUARANTINED_PART, part.value());
      if (current.isPresent()) {
        return writes
            .delete(
                ObjectKind.QUARANTINED_PART, part.value(), current.get().version(), WRITE_ATTEMPTS)
            .isApplied();
      }
      return true;
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("quarantine: cannot delete part %s; retrying", part);
      return false;
    }
  }
}
