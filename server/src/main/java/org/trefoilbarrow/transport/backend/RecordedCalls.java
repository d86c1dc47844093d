package org.trefoilbarrow.transport.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.flogger.FluentLogger;
import com.google.common.io.BaseEncoding;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.trefoilbarrow.protocol.CallRecord;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.RunState;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;

/**
 * Calls that may run at most once and carry an idempotency key.
 *
 * <p>The intent is recorded in the platform before the first byte is sent, the outcome afterwards.
 * A repeated call gets the recorded outcome, or an error if the outcome is unknown; the call never
 * runs again. Thread-safe.
 */
public final class RecordedCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_WRITE_ATTEMPTS = 3;
  private static final int MAX_OUTCOME_WRITE_ATTEMPTS = 10;

  /** The most characters of a body in one object, below the platform's limit for a value. */
  private static final int MAX_PART_CHARACTERS = 700_000;

  private final Platform platform;
  private final ConfirmedWrites writes;
  private final CallSender sender;
  private final LongSupplier secondsClock;

  /** Sends a call to a backend server, and returns its response. */
  @FunctionalInterface
  public interface CallSender {
    /**
     * Sends a call.
     *
     * @param onSending receives an action that aborts the attempt, before each attempt
     * @throws ServiceException if the call failed
     */
    FullResponse call(OnlineCall call, Consumer<Runnable> onSending) throws InterruptedException;
  }

  /**
   * Creates an instance that sends calls through the given sender.
   *
   * @param secondsClock the time of day, in seconds since the epoch
   */
  public RecordedCalls(
      Platform platform, ConfirmedWrites writes, CallSender sender, LongSupplier secondsClock) {
    this.platform = checkNotNull(platform, "platform");
    this.writes = checkNotNull(writes, "writes");
    this.sender = checkNotNull(sender, "sender");
    this.secondsClock = checkNotNull(secondsClock, "secondsClock");
  }

  /**
   * Makes a call, or returns the outcome that was recorded for the key.
   *
   * @param onSending receives an action that aborts the attempt, before each attempt
   * @throws ServiceException if the call failed, or its outcome is unknown
   */
  public FullResponse call(OnlineCall call, String idempotencyKey, Consumer<Runnable> onSending)
      throws InterruptedException {
    String name = objectName(call, idempotencyKey);
    String digest = digest(call);
    String nonce = call.request().requestId().value();
    CallRecord intent = CallRecord.intent(digest, nonce, secondsClock.getAsLong());
    WriteOutcome written =
        writes.write(
            ObjectKind.CALL, name, Platform.ABSENT, JsonCodec.encode(intent), MAX_WRITE_ATTEMPTS);
    return switch (written.result()) {
      case APPLIED -> run(call, name, intent, written.version(), onSending);
      case CONFLICT -> recordedOutcome(name, digest);
      case UNKNOWN, NOT_SENT, TOO_LARGE ->
          // The platform may hold the intent, but this host does not send the call.
          throw new ServiceException(
              ErrorKind.PLATFORM_UNAVAILABLE, "the call could not be recorded and was not made");
    };
  }

  private FullResponse run(
      OnlineCall call, String name, CallRecord intent, long version, Consumer<Runnable> onSending)
      throws InterruptedException {
    try {
      FullResponse response = sender.call(call, onSending);
      record(name, version, intent, response);
      return response;
    } catch (ServiceException e) {
      if (e.kind().runState() == RunState.NOT_RUN) {
        removeIntent(name, version);
      }
      throw e;
    }
  }

  private void record(String name, long version, CallRecord intent, FullResponse response) {
    List<String> parts =
        Splitter.fixedLength(MAX_PART_CHARACTERS)
            .splitToList(BaseEncoding.base64().encode(response.body()));
    for (int part = 1; part < parts.size(); part++) {
      String value = JsonCodec.encode(parts.get(part));
      if (!writeOutcome(name, partName(name, intent, part), Platform.ABSENT, value)) {
        return;
      }
    }
    CallRecord.Outcome outcome =
        new CallRecord.Outcome(
            response.status(), response.contentType(), parts.get(0), parts.size() - 1);
    writeOutcome(name, name, version, JsonCodec.encode(intent.withOutcome(outcome)));
  }

  private boolean writeOutcome(String call, String name, long version, String value) {
    WriteOutcome written =
        writes.write(ObjectKind.CALL, name, version, value, MAX_OUTCOME_WRITE_ATTEMPTS);
    if (!written.isApplied()) {
      logger.atWarning().log(
          "calls: outcome of %s not recorded: write %s; repeated calls fail",
          call, written.result());
    }
    return written.isApplied();
  }

  /** Returns the name of a part, which no other intent of the same call writes. */
  private static String partName(String name, CallRecord intent, int part) {
    return name + "." + intent.attempt() + "." + part;
  }

  /** Removes the intent of a call that certainly did not run, so that a repeated call may run. */
  private void removeIntent(String name, long version) {
    try {
      platform.delete(ObjectKind.CALL, name, version);
    } catch (PlatformException e) {
      // While the intent remains, a repeated call fails with an unknown outcome, which is safe.
      logger.atInfo().log(
          "calls: intent of %s not removed: %s; repeated calls fail", name, e.getMessage());
    }
  }

  private FullResponse recordedOutcome(String name, String digest) {
    CallRecord record = JsonCodec.decode(read(name), CallRecord.class);
    if (!record.requestDigest().equals(digest)) {
      throw new ServiceException(
          ErrorKind.IDEMPOTENCY_KEY_REUSED, "the idempotency key belongs to another request");
    }
    if (record.outcome() == null) {
      throw new ServiceException(
          ErrorKind.OUTCOME_UNKNOWN,
          "the call with this idempotency key may have run; its outcome is not known");
    }
    CallRecord.Outcome outcome = record.outcome();
    StringBuilder body = new StringBuilder(outcome.body());
    for (int part = 1; part <= outcome.furtherParts(); part++) {
      body.append(JsonCodec.decode(read(partName(name, record, part)), String.class));
    }
    return new FullResponse(
        outcome.status(), outcome.contentType(), BaseEncoding.base64().decode(body));
  }

  private String read(String name) {
    try {
      Optional<VersionedObject> found = platform.read(ObjectKind.CALL, name);
      if (found.isPresent()) {
        return found.get().value();
      }
    } catch (PlatformException e) {
      throw new ServiceException(
          ErrorKind.PLATFORM_UNAVAILABLE, e, "the record of the call could not be read");
    }
    throw new ServiceException(
        ErrorKind.OUTCOME_UNKNOWN,
        "the record of the call with this idempotency key was not found; its outcome is not known");
  }

  private static String objectName(OnlineCall call, String idempotencyKey) {
    return call.organisation() + "/" + Digests.digest(call.route() + "\n" + idempotencyKey);
  }

  private static String digest(OnlineCall call) {
    BackendRequest request = call.request();
    return Digests.digest(
        Joiner.on('\n')
            .join(request.method(), request.path(), Digests.digest(request.body()), call.route()));
  }
}
