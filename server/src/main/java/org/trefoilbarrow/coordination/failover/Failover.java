package org.trefoilbarrow.coordination.failover;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.trefoilbarrow.state.fleet.Route;

/**
 * Decides what becomes of one request while its backend server is silent, goes on, breaks off or
 * rejects it. Silence does not show that a server has failed, so the attempt at a silent server is
 * kept until a slot at another server is assigned, and for good if none is.
 *
 * <p>At most one slot is requested at a time, and at most one attempt runs. Not thread-safe.
 */
public final class Failover {
  /** The most sends of a request that certainly did not run. */
  private static final int MAX_UNPROCESSED_SENDS = 4;

  /** The shortest time in which a backend server can be expected to start its response. */
  private static final Duration MIN_FIRST_RESPONSE_TIMEOUT = Duration.ofMillis(250);

  /** Added to a route's longest event gap before a stream counts as silent. */
  private static final Duration EVENT_GAP_MARGIN = Duration.ofMillis(100);

  /** A request with less time before its deadline is not sent. */
  private static final Duration MIN_REMAINING_TIME = Duration.ofMillis(5);

  /** What to do next. */
  public enum Step {
    /** Nothing; what was requested or is running goes on. */
    NONE,
    /** Request a slot. */
    REQUEST_SLOT,
    /** Give up the slot that was requested or assigned; the running attempt goes on. */
    WITHDRAW_REQUEST,
    /** Send the request to the assigned server. */
    SEND,
    /** Cancel the running attempt, then send the request to the assigned server. */
    MOVE,
    /** End the request: its time is over. */
    EXPIRE,
    /** Refuse the request, which certainly did not run. */
    REFUSE,
    /** End the request, which may have run and whose response is lost. */
    FAIL
  }

  private final boolean retryable;
  private final int maxRuns;
  private final long eventSilenceNanos;
  private final long firstResponseNanos;
  private long deadlineNanos;
  private int runs;
  private int unprocessedSends;
  private boolean responseStarted;
  private boolean attemptRunning;
  private boolean attemptStreaming;
  private boolean slotRequested;
  private long lastProgressNanos;
  private long nextRequestNanos;

  /**
   * Creates the state of a request for which no slot was requested yet.
   *
   * @param route the request's route
   * @param nowNanos the present time
   * @param deadlineNanos when the request's time is over
   */
  public Failover(Route route, long nowNanos, long deadlineNanos) {
    checkNotNull(route, "route");
    this.retryable = route.isRetryable();
    this.maxRuns = Math.max(1, route.maxAttempts());
    this.eventSilenceNanos =
        Duration.ofMillis(route.eventGapMillis()).plus(EVENT_GAP_MARGIN).toNanos();
    this.firstResponseNanos =
        Math.max(
            MIN_FIRST_RESPONSE_TIMEOUT.toNanos(),
            Duration.ofMillis(route.latencyTargetMillis()).multipliedBy(2).toNanos());
    this.deadlineNanos = deadlineNanos;
    this.lastProgressNanos = nowNanos;
    this.nextRequestNanos = nowNanos;
  }

  /** Requests the first slot. */
  public Step start() {
    return requestSlot();
  }

  /** Sets a later time at which the request's time is over. */
  public void extendDeadline(long deadlineNanos) {
    checkArgument(
        deadlineNanos - this.deadlineNanos >= 0,
        "deadlineNanos must not be before %s: %s",
        this.deadlineNanos,
        deadlineNanos);
    this.deadlineNanos = deadlineNanos;
  }

  /** Records that the requested slot was assigned. */
  public Step slotAssigned(long nowNanos) {
    slotRequested = false;
    if (!hasTime(nowNanos)) {
      return attemptRunning ? Step.WITHDRAW_REQUEST : Step.EXPIRE;
    }
    boolean moves = attemptRunning;
    if (moves) {
      runs++;
    }
    attemptRunning = true;
    attemptStreaming = false;
    lastProgressNanos = nowNanos;
    return moves ? Step.MOVE : Step.SEND;
  }

  /**
   * Records that the requested slot was refused.
   *
   * @param retryDelayNanos when it makes sense to request one again, if nothing else is left
   */
  public Step slotRefused(long retryDelayNanos, long nowNanos) {
    slotRequested = false;
    if (attemptRunning) {
      nextRequestNanos = nowNanos + maxSilenceNanos();
      return Step.NONE;
    }
    if (responseStarted) {
      nextRequestNanos = nowNanos + retryDelayNanos;
      return Step.NONE;
    }
    return runs > 0 ? Step.FAIL : Step.REFUSE;
  }

  /**
   * Records that a part of the response was received.
   *
   * @param streaming whether the response is an event stream
   */
  public Step progressed(boolean streaming, long nowNanos) {
    lastProgressNanos = nowNanos;
    attemptStreaming = streaming;
    if (slotRequested) {
      slotRequested = false;
      return Step.WITHDRAW_REQUEST;
    }
    return Step.NONE;
  }

  /** Records that a part of the response was passed to the caller. */
  public void responseStarted() {
    responseStarted = true;
  }

  /** Decides, from time to time, whether a slot at another server is due. */
  public Step check(long nowNanos) {
    if (slotRequested || nowNanos - nextRequestNanos < 0 || !hasTime(nowNanos)) {
      return Step.NONE;
    }
    if (!attemptRunning) {
      return requestSlot();
    }
    boolean silent = silenceNanos(nowNanos) > maxSilenceNanos();
    return silent && mayRunAgain() ? requestSlot() : Step.NONE;
  }

  /** Records that the running attempt ended without a usable response and may have run. */
  public Step attemptLost(long nowNanos) {
    attemptRunning = false;
    runs++;
    if (!retryable || runs >= maxRuns || !hasTime(nowNanos)) {
      return Step.FAIL;
    }
    return slotRequested ? Step.NONE : requestSlot();
  }

  /** Records that the running attempt ended and certainly did not run. */
  public Step attemptNotRun(long nowNanos) {
    attemptRunning = false;
    unprocessedSends++;
    if (unprocessedSends < MAX_UNPROCESSED_SENDS && hasTime(nowNanos)) {
      return slotRequested ? Step.NONE : requestSlot();
    }
    return mayHaveRun() ? Step.FAIL : Step.REFUSE;
  }

  /** Records that the running attempt ended with the response that the caller gets. */
  public void attemptCompleted() {
    attemptRunning = false;
    runs++;
  }

  /** Returns whether another run may follow the running attempt. */
  public boolean mayRunAgain() {
    return retryable && runs + 1 < maxRuns;
  }

  /** Returns whether the request may have run, or may be running, at a backend server. */
  public boolean mayHaveRun() {
    return responseStarted || runs > 0 || attemptRunning;
  }

  /** Returns the number of runs that have ended. */
  public int runs() {
    return runs;
  }

  /** Returns whether a part of the response was passed to the caller. */
  public boolean isResponseStarted() {
    return responseStarted;
  }

  /** Returns for how long nothing was received, in nanoseconds. */
  public long silenceNanos(long nowNanos) {
    return nowNanos - lastProgressNanos;
  }

  private long maxSilenceNanos() {
    return responseStarted && attemptStreaming ? eventSilenceNanos : firstResponseNanos;
  }

  private boolean hasTime(long nowNanos) {
    return deadlineNanos - nowNanos > MIN_REMAINING_TIME.toNanos();
  }

  private Step requestSlot() {
    slotRequested = true;
    return Step.REQUEST_SLOT;
  }
}
