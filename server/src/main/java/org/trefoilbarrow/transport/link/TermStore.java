package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.trefoilbarrow.coordination.election.DispatchTerm;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;

/**
 * Keeps the newest term at the platform, as one object that is replaced on condition of its
 * version. Makes its calls on the executor and passes results to the other one.
 */
public final class TermStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String NAME = "newest";
  private static final int WRITE_ATTEMPTS = 3;

  private final Platform platform;
  private final ConfirmedWrites writes;
  private final Executor calls;
  private final Executor results;

  /**
   * Creates a store at the given platform.
   *
   * @param calls runs the calls, which block
   * @param results runs the consumers of results
   */
  public TermStore(Platform platform, Executor calls, Executor results) {
    this.platform = checkNotNull(platform, "platform");
    this.writes = new ConfirmedWrites(platform, (Duration time) -> Thread.sleep(time.toMillis()));
    this.calls = checkNotNull(calls, "calls");
    this.results = checkNotNull(results, "results");
  }

  /** Reads the newest term; the result is empty if there is none or the platform fails. */
  void read(Consumer<Optional<DispatchTerm>> onResult) {
    calls.execute(() -> deliver(() -> readObject().map(TermStore::decode), onResult));
  }

  /**
   * Writes a term unless the platform has one that is as new.
   *
   * @param onResult receives the term that the platform then has; empty if that is not known
   */
  void claim(DispatchTerm next, Consumer<Optional<DispatchTerm>> onResult) {
    calls.execute(() -> deliver(() -> tryClaim(next), onResult));
  }

  private Optional<DispatchTerm> tryClaim(DispatchTerm next) {
    Optional<VersionedObject> current = readObject();
    Optional<DispatchTerm> newest = current.map(TermStore::decode);
    if (newest.isPresent() && newest.get().number() >= next.number()) {
      return newest;
    }
    long version = current.map(VersionedObject::version).orElse(Platform.ABSENT);
    WriteOutcome outcome =
        writes.write(
            ObjectKind.DISPATCH_TERM, NAME, version, JsonCodec.encode(next), WRITE_ATTEMPTS);
    if (outcome.isApplied()) {
      return Optional.of(next);
    }
    return outcome.result() == WriteOutcome.Result.CONFLICT
        ? readObject().map(TermStore::decode)
        : Optional.empty();
  }

  private Optional<VersionedObject> readObject() {
    return platform.read(ObjectKind.DISPATCH_TERM, NAME);
  }

  private static DispatchTerm decode(VersionedObject object) {
    return JsonCodec.decode(object.value(), DispatchTerm.class);
  }

  private void deliver(Attempt attempt, Consumer<Optional<DispatchTerm>> onResult) {
    Optional<DispatchTerm> result;
    try {
      result = attempt.make();
    } catch (PlatformException e) {
      logger.atInfo().log("link: the platform's newest term is not known: %s", e.getMessage());
      result = Optional.empty();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("link: the platform's newest term is unreadable");
      result = Optional.empty();
    }
    Optional<DispatchTerm> delivered = result;
    results.execute(() -> onResult.accept(delivered));
  }

  /** Calls the platform. */
  @FunctionalInterface
  private interface Attempt {
    Optional<DispatchTerm> make();
  }
}
