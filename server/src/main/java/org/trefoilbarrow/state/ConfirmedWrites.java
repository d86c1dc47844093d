package org.trefoilbarrow.state;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Makes conditional writes and finds out whether a write whose response was lost took effect.
 *
 * <p>When the response to a write is lost, the object is read. If it holds the written value, the
 * write took effect. If it still has the expected version, the first write may yet arrive, so the
 * same conditional write is sent again: at most one of the two takes effect. The written value must
 * differ from any value that another writer may write. Thread-safe.
 */
public final class ConfirmedWrites {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long FIRST_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 2000;

  private final Platform platform;
  private final Sleeper sleeper;

  /** Waits between two attempts. */
  @FunctionalInterface
  public interface Sleeper {
    /** Sleeps for the given duration. */
    void sleep(Duration duration) throws InterruptedException;
  }

  /** Creates an instance that writes to the given platform. */
  public ConfirmedWrites(Platform platform, Sleeper sleeper) {
    this.platform = checkNotNull(platform, "platform");
    this.sleeper = checkNotNull(sleeper, "sleeper");
  }

  /**
   * Writes an object if it has the expected version.
   *
   * @param attempts the maximum number of attempts, after which the outcome is {@code UNKNOWN} or
   *     {@code NOT_SENT}
   */
  public WriteOutcome write(
      ObjectKind kind, String name, long expectedVersion, String value, int attempts) {
    checkArgument(attempts > 0, "attempts must be positive: %s", attempts);
    boolean mayHaveApplied = false;
    for (int attempt = 0; attempt < attempts; attempt++) {
      if (!backOff(attempt)) {
        break;
      }
      try {
        if (mayHaveApplied) {
          Optional<Long> found = readBack(kind, name, value);
          if (found.isPresent()) {
            return WriteOutcome.applied(found.get());
          }
        }
        Optional<Long> written = platform.write(kind, name, expectedVersion, value);
        if (written.isPresent()) {
          return WriteOutcome.applied(written.get());
        }
        return mayHaveApplied
            ? confirmConflict(kind, name, value)
            : WriteOutcome.of(WriteOutcome.Result.CONFLICT);
      } catch (PlatformException e) {
        logger.atFine().log(
            "platform: attempt %s of %s to write %s %s failed: %s",
            attempt + 1, attempts, kind.collection(), name, e.getMessage());
        if (e.isTooLarge() && !mayHaveApplied) {
          return WriteOutcome.of(WriteOutcome.Result.TOO_LARGE);
        }
        mayHaveApplied |= !e.isNotApplied();
      }
    }
    return WriteOutcome.of(
        mayHaveApplied ? WriteOutcome.Result.UNKNOWN : WriteOutcome.Result.NOT_SENT);
  }

  /**
   * Deletes an object if it has the expected version.
   *
   * <p>When a response was lost and the object is then found absent, the outcome is applied with
   * version 0, since the version of the deletion is not known.
   *
   * @param attempts the maximum number of attempts, after which the outcome is {@code UNKNOWN} or
   *     {@code NOT_SENT}
   */
  public WriteOutcome delete(ObjectKind kind, String name, long expectedVersion, int attempts) {
    checkArgument(attempts > 0, "attempts must be positive: %s", attempts);
    boolean mayHaveApplied = false;
    for (int attempt = 0; attempt < attempts && backOff(attempt); attempt++) {
      try {
        if (mayHaveApplied && platform.read(kind, name).isEmpty()) {
          return WriteOutcome.applied(0);
        }
        Optional<Long> deleted = platform.delete(kind, name, expectedVersion);
        if (deleted.isPresent()) {
          return WriteOutcome.applied(deleted.get());
        }
        return WriteOutcome.of(
            mayHaveApplied ? WriteOutcome.Result.UNKNOWN : WriteOutcome.Result.CONFLICT);
      } catch (PlatformException e) {
        mayHaveApplied |= !e.isNotApplied();
      }
    }
    return WriteOutcome.of(
        mayHaveApplied ? WriteOutcome.Result.UNKNOWN : WriteOutcome.Result.NOT_SENT);
  }

  private WriteOutcome confirmConflict(ObjectKind kind, String name, String value) {
    // An earlier attempt may have been applied and then replaced by another writer.
    return readBack(kind, name, value)
        .map(WriteOutcome::applied)
        .orElse(WriteOutcome.of(WriteOutcome.Result.UNKNOWN));
  }

  private Optional<Long> readBack(ObjectKind kind, String name, String value) {
    return platform
        .read(kind, name)
        .filter(object -> object.value().equals(value))
        .map(VersionedObject::version);
  }

  private boolean backOff(int attempt) {
    if (attempt == 0) {
      return true;
    }
    long maxMillis = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(attempt, 10));
    try {
      sleeper.sleep(
          Duration.ofMillis(ThreadLocalRandom.current().nextLong(maxMillis / 2, maxMillis)));
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
