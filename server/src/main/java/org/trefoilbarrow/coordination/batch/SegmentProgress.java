package org.trefoilbarrow.coordination.batch;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.trefoilbarrow.protocol.SegmentId;
import org.trefoilbarrow.protocol.SegmentState;

/**
 * The progress of one segment under one claim: its pending and running items, and its results.
 *
 * <p>An item is pending, running or done. A result is buffered first and counts only once a
 * checkpoint that holds it is committed. A checkpoint replaces the record of the segment only if
 * the record still has the version that the claim or the last checkpoint wrote, so a holder whose
 * segment was claimed by another host commits nothing. Times are readings of the monotonic clock,
 * in nanoseconds. Thread-safe.
 */
public final class SegmentProgress {
  /** The suffix of result parts that hold failed items. */
  public static final String ERRORS_SUFFIX = ".errors";

  private final BatchRules rules;
  private final SegmentId segment;
  private final int items;
  private final int maxAttempts;
  private final int[] attempts;
  private final long[] notBeforeNanos;
  private final BitSet pending = new BitSet();
  private final BitSet done;
  private final List<String> parts;
  private final long fencing;
  private SegmentState committed;
  private long version;
  private int failed;
  private int running;
  private StringBuilder bufferedResults = new StringBuilder();
  private StringBuilder bufferedErrors = new StringBuilder();
  private long checkpoints;
  private long lastCommitNanos;
  private boolean committing;
  private boolean lost;

  /**
   * Starts work under a claim.
   *
   * @param claimed the record that the claim wrote
   * @param version the version that the claim wrote
   */
  public SegmentProgress(
      BatchRules rules,
      SegmentId segment,
      int items,
      int maxAttempts,
      SegmentState claimed,
      long version,
      long nowNanos) {
    this.rules = checkNotNull(rules, "rules");
    this.segment = checkNotNull(segment, "segment");
    this.items = items;
    this.maxAttempts = maxAttempts;
    this.committed = checkNotNull(claimed, "claimed");
    this.version = version;
    this.fencing = claimed.fencing();
    this.done = claimed.doneItems();
    this.failed = claimed.failed();
    this.parts = new ArrayList<>(claimed.parts());
    this.attempts = new int[items];
    this.notBeforeNanos = new long[items];
    this.lastCommitNanos = nowNanos;
    claimed.attempts().forEach(item -> attempts[item.item()] = item.count());
    pending.set(0, items);
    pending.andNot(done);
    Arrays.fill(notBeforeNanos, nowNanos);
  }

  /** Returns the segment. */
  public SegmentId segment() {
    return segment;
  }

  /** Starts the next item and returns its index, or empty if none may start now. */
  public synchronized OptionalInt startNextItem(long nowNanos) {
    if (lost || bufferedBytes() >= rules.maxBufferedBytes()) {
      return OptionalInt.empty();
    }
    for (int i = pending.nextSetBit(0); i >= 0; i = pending.nextSetBit(i + 1)) {
      if (notBeforeNanos[i] - nowNanos <= 0) {
        pending.clear(i);
        running++;
        return OptionalInt.of(i);
      }
    }
    return OptionalInt.empty();
  }

  /** Returns how many items have not been started. */
  public synchronized int pendingItems() {
    return lost ? 0 : pending.cardinality();
  }

  /** Records the result of an item. */
  public synchronized void onResult(int item, String line) {
    markDone(item);
    bufferedResults.append(line).append('\n');
  }

  /** Records that an item has failed permanently. */
  public synchronized void onFailed(int item, String errorLine) {
    markDone(item);
    failed++;
    bufferedErrors.append(errorLine).append('\n');
  }

  /**
   * Records a failed attempt.
   *
   * @return whether the item has attempts left; if not, {@link #onFailed} must follow
   */
  public synchronized boolean onAttemptFailed(int item, long nowNanos) {
    attempts[item]++;
    if (attempts[item] >= maxAttempts) {
      return false;
    }
    running--;
    pending.set(item);
    notBeforeNanos[item] = nowNanos + rules.retryAfter().toNanos() * attempts[item];
    return true;
  }

  /**
   * Returns an item that did not run to its end to the pending ones, without counting an attempt.
   */
  public synchronized void onYielded(int item) {
    running--;
    pending.set(item);
  }

  /**
   * Returns the checkpoint to commit now, if any. The caller must retry its writes until it calls
   * {@link #onCommitted} or {@link #onLost}.
   */
  public synchronized Optional<Checkpoint> planCheckpoint(long nowNanos) {
    if (committing || lost || committed.finished()) {
      return Optional.empty();
    }
    long sinceCommit = nowNanos - lastCommitNanos;
    boolean allDone = done.cardinality() == items;
    boolean full = bufferedBytes() >= rules.maxPartBytes();
    boolean due = bufferedBytes() > 0 && sinceCommit >= rules.checkpointEvery().toNanos();
    boolean keepAlive = sinceCommit >= rules.keepAliveEvery().toNanos();
    if (!allDone && !full && !due && !keepAlive) {
      return Optional.empty();
    }
    return Optional.of(startCheckpoint(allDone, false));
  }

  /** Returns the last checkpoint of this claim, which releases the segment. */
  public synchronized Optional<Checkpoint> planRelease() {
    if (committing || lost || committed.finished()) {
      return Optional.empty();
    }
    return Optional.of(startCheckpoint(done.cardinality() == items, true));
  }

  /** Records that a checkpoint was committed. */
  public synchronized void onCommitted(Checkpoint checkpoint, long newVersion, long nowNanos) {
    committing = false;
    committed = checkpoint.state();
    version = newVersion;
    lastCommitNanos = nowNanos;
    if (committed.holder() == null) {
      lost = true;
    }
  }

  /** Returns whether the claim has ended: nothing more can be committed under it. */
  public synchronized boolean isLost() {
    return lost;
  }

  /** Records that another host claimed the segment, or that the job ended. */
  public synchronized void onLost() {
    committing = false;
    lost = true;
  }

  /** Returns whether every item has a committed result. */
  public synchronized boolean isFinished() {
    return committed.finished();
  }

  /** Returns the number of items in progress. */
  public synchronized int runningItems() {
    return running;
  }

  private Checkpoint startCheckpoint(boolean finished, boolean release) {
    committing = true;
    checkpoints++;
    List<Checkpoint.Part> newParts = new ArrayList<>();
    String base = segment.objectName() + "/" + fencing + "-" + checkpoints;
    addPart(newParts, base, bufferedResults);
    addPart(newParts, base + ERRORS_SUFFIX, bufferedErrors);
    bufferedResults = new StringBuilder();
    bufferedErrors = new StringBuilder();
    newParts.forEach(part -> parts.add(part.name()));
    SegmentState state =
        new SegmentState(
            committed.holder(),
            committed.incarnation(),
            fencing,
            checkpoints,
            done.toLongArray(),
            failed,
            unfinishedAttempts(),
            parts,
            finished);
    return new Checkpoint(version, newParts, release ? state.released() : state);
  }

  private static void addPart(List<Checkpoint.Part> parts, String name, StringBuilder lines) {
    if (lines.length() > 0) {
      parts.add(new Checkpoint.Part(name, lines.toString()));
    }
  }

  private List<SegmentState.ItemAttempts> unfinishedAttempts() {
    List<SegmentState.ItemAttempts> open = new ArrayList<>();
    for (int i = 0; i < items; i++) {
      if (attempts[i] > 0 && !done.get(i)) {
        open.add(new SegmentState.ItemAttempts(i, attempts[i]));
      }
    }
    return open;
  }

  private void markDone(int item) {
    checkState(!done.get(item), "item %s of segment %s already has a result", item, segment);
    running--;
    done.set(item);
  }

  private int bufferedBytes() {
    return bufferedResults.length() + bufferedErrors.length();
  }
}
