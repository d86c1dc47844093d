package org.trefoilbarrow.coordination.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.SegmentId;
import org.trefoilbarrow.protocol.SegmentState;

/**
 * Decides whether a segment may be claimed, from how long its record has been unchanged.
 *
 * <p>A claim is a conditional write, so a wrong decision only causes repeated work, never a second
 * result. Times are readings of this host's monotonic clock, in nanoseconds. Thread-safe.
 */
public final class SegmentClaims {
  private final Duration lease;
  private final HostId self;
  private final Map<SegmentId, Observation> observations = new HashMap<>();

  private record Observation(long version, long sinceNanos) {}

  /** Creates a record without observations for a host. */
  public SegmentClaims(Duration lease, HostId self) {
    this.lease = checkNotNull(lease, "lease");
    this.self = checkNotNull(self, "self");
  }

  /**
   * Returns whether a segment that this host does not run may be claimed now.
   *
   * @param version the version of the segment's record, or 0 if it does not exist
   * @param isSuperseded whether a newer incarnation of the holder runs, so that the holder
   *     certainly does not
   */
  public synchronized boolean isClaimable(
      SegmentId segment,
      long version,
      SegmentState state,
      Predicate<SegmentState> isSuperseded,
      long nowNanos) {
    if (state.finished()) {
      observations.remove(segment);
      return false;
    }
    if (state.holder() == null) {
      return true;
    }
    if (self.equals(state.holder())) {
      // The caller asks only about segments that this incarnation does not run, so the holder is an
      // earlier one, which no longer runs.
      return true;
    }
    Observation observation = observations.get(segment);
    if (observation == null || observation.version() != version) {
      observations.put(segment, new Observation(version, nowNanos));
      return isSuperseded.test(state);
    }
    boolean expired = nowNanos - observation.sinceNanos() >= lease.toNanos();
    return expired || isSuperseded.test(state);
  }

  /** Removes the observations of the segments of a job that ended. */
  public synchronized void remove(JobId job) {
    observations.keySet().removeIf(segment -> segment.jobId().equals(job));
  }
}
