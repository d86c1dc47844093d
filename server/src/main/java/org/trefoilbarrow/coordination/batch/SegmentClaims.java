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
 * Decides whether a segment may be claimed, from how long its record was seen unchanged.
 *
 * <p>A claim is a conditional write, so that a wrong decision costs work that is done twice, never
 * a second result. Times are readings of this host's monotonic clock, in nanoseconds. Thread-safe.
 */
public final class SegmentClaims {
  private final Duration lease;
  private final HostId self;
  private final Map<SegmentId, Sighting> sightings = new HashMap<>();

  private record Sighting(long version, long sinceNanos) {}

  /** Creates the rule for a host. */
  public SegmentClaims(Duration lease, HostId self) {
    this.lease = checkNotNull(lease, "lease");
    this.self = checkNotNull(self, "self");
  }

  /**
   * Returns whether a segment that this host does not run may be claimed now.
   *
   * @param version the version of the segment's record, or 0 if it does not exist
   * @param isSuperseded tells of a holder that it certainly no longer runs
   */
  public synchronized boolean isClaimable(
      SegmentId segment,
      long version,
      SegmentState state,
      Predicate<SegmentState> isSuperseded,
      long nowNanos) {
    if (state.finished()) {
      sightings.remove(segment);
      return false;
    }
    if (state.holder() == null) {
      return true;
    }
    if (self.equals(state.holder())) {
      // This incarnation does not run it, or the caller would not ask; an earlier one is dead.
      return true;
    }
    Sighting sighting = sightings.get(segment);
    if (sighting == null || sighting.version() != version) {
      sightings.put(segment, new Sighting(version, nowNanos));
      return isSuperseded.test(state);
    }
    boolean lapsed = nowNanos - sighting.sinceNanos() >= lease.toNanos();
    return lapsed || isSuperseded.test(state);
  }

  /** Forgets the segments of a job that ended. */
  public synchronized void remove(JobId job) {
    sightings.keySet().removeIf(segment -> segment.jobId().equals(job));
  }
}
