package org.trefoilbarrow.protocol;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.google.common.collect.ImmutableList;
import java.util.BitSet;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The stored record of a segment's progress. A result is visible once this record lists the part
 * that holds it.
 *
 * @param holder the host that runs the segment, or null when none does
 * @param incarnation the holder's incarnation
 * @param fencing the number of claims so far; only the holder of the latest claim may commit
 * @param checkpoint the number of checkpoints under the latest claim
 * @param done which items have a result, as the words of a bit set
 * @param failed the number of items among them that ended as failed
 * @param attempts the items without a result that have been attempted
 * @param parts the names of the result parts, in order of their commits
 * @param finished whether every item has a result
 */
public record SegmentState(
    @Nullable HostId holder,
    long incarnation,
    long fencing,
    long checkpoint,
    long[] done,
    int failed,
    List<ItemAttempts> attempts,
    List<String> parts,
    boolean finished) {

  /**
   * The number of attempts at an item.
   *
   * @param item the item's index in the segment
   * @param count the number of attempts that ended without a result
   */
  public record ItemAttempts(int item, int count) {}

  /** Copies the mutable components. */
  public SegmentState {
    attempts = ImmutableList.copyOf(attempts);
    parts = ImmutableList.copyOf(parts);
  }

  /** Returns the state of a segment that no host has claimed yet. */
  public static SegmentState unclaimed() {
    return new SegmentState(
        null, 0, 0, 0, new long[0], 0, ImmutableList.of(), ImmutableList.of(), false);
  }

  /** Returns this state, claimed by the given host under the next fencing number. */
  public SegmentState claimedBy(HostId host, long hostIncarnation) {
    return new SegmentState(
        host, hostIncarnation, fencing + 1, 0, done, failed, attempts, parts, finished);
  }

  /** Returns this state without a holder. */
  public SegmentState released() {
    return new SegmentState(null, 0, fencing, checkpoint, done, failed, attempts, parts, finished);
  }

  /** Returns the items that have a result. */
  @JsonIgnore
  public BitSet doneItems() {
    return BitSet.valueOf(done);
  }

  /** Returns the number of items that have a result. */
  @JsonIgnore
  public int doneCount() {
    return doneItems().cardinality();
  }
}
