package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.KeyDigest;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.transport.platform.PeriodicTask;

/**
 * The calls in progress. Aborts the calls of a key that is withdrawn, and calls whose streamed
 * response stalls.
 *
 * <p>Thread-safe.
 */
public final class RunningCalls implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration STALL_CHECK_INTERVAL = Duration.ofMillis(200);

  private final Set<RunningCall> calls = ConcurrentHashMap.newKeySet();
  private final ConfigurationTable configuration;
  private final Duration stallTimeout;
  private final LongSupplier nanoClock;
  private final PeriodicTask stallCheckTask;

  /**
   * Creates an empty set of calls.
   *
   * @param stallTimeout how long a streamed response may pause before its call is aborted
   */
  public RunningCalls(
      ConfigurationTable configuration, Duration stallTimeout, LongSupplier nanoClock) {
    this.configuration = checkNotNull(configuration, "configuration");
    this.stallTimeout = checkNotNull(stallTimeout, "stallTimeout");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
    this.stallCheckTask =
        new PeriodicTask("running-calls", STALL_CHECK_INTERVAL, this::abortStalled);
    configuration.addListener(this::abortWithdrawn);
  }

  /** Starts the check for stalled responses. */
  public void start() {
    stallCheckTask.start();
  }

  /** A call in progress. It must be closed when the call ends. */
  public final class RunningCall implements AutoCloseable {
    private final Optional<KeyDigest> key;
    private volatile Runnable attemptAborter = () -> {};
    private volatile long streamProgressNanos;
    private volatile @Nullable ErrorKind abortReason;

    private RunningCall(Optional<KeyDigest> key) {
      this.key = key;
    }

    /** Sets the action that aborts the current attempt; runs it now if the call was aborted. */
    public void onSending(Runnable abortAttempt) {
      attemptAborter = abortAttempt;
      if (abortReason != null) {
        abortAttempt.run();
      }
    }

    /** Records that a part of the streamed response arrived. */
    public void onProgress() {
      streamProgressNanos = nanoClock.getAsLong();
    }

    /** Returns why the call was aborted by this class, if it was. */
    public Optional<ErrorKind> abortReason() {
      return Optional.ofNullable(abortReason);
    }

    private void abort(ErrorKind kind) {
      abortReason = kind;
      attemptAborter.run();
    }

    @Override
    public void close() {
      calls.remove(this);
    }
  }

  /** Registers a call that is made with the given key. */
  public RunningCall register(Optional<KeyDigest> key) {
    RunningCall call = new RunningCall(key);
    calls.add(call);
    return call;
  }

  /** Returns the number of calls in progress. */
  public int size() {
    return calls.size();
  }

  @Override
  public void close() {
    stallCheckTask.close();
  }

  private void abortWithdrawn() {
    for (RunningCall call : calls) {
      if (call.key.isPresent() && configuration.validKey(call.key.get()).isEmpty()) {
        logger.atInfo().log("online: aborted a call because its key was withdrawn");
        call.abort(ErrorKind.KEY_WITHDRAWN_IN_PROGRESS);
      }
    }
  }

  private void abortStalled() {
    long now = nanoClock.getAsLong();
    for (RunningCall call : calls) {
      long progress = call.streamProgressNanos;
      if (progress != 0 && now - progress >= stallTimeout.toNanos() && call.abortReason == null) {
        call.abort(ErrorKind.BACKEND_TIMEOUT);
      }
    }
  }
}
