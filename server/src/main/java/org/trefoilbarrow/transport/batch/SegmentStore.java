package org.trefoilbarrow.transport.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.trefoilbarrow.coordination.batch.BatchRules;
import org.trefoilbarrow.coordination.batch.Checkpoint;
import org.trefoilbarrow.coordination.batch.SegmentClaims;
import org.trefoilbarrow.coordination.batch.SegmentProgress;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.SegmentId;
import org.trefoilbarrow.protocol.SegmentState;
import org.trefoilbarrow.state.CollectionReader;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;

/** Claims segments of batch jobs and commits their checkpoints. Thread-safe. */
final class SegmentStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_CLAIM_ATTEMPTS = 3;

  /** A write of a checkpoint is repeated until its outcome is known: an outage only delays it. */
  private static final int MAX_COMMIT_ATTEMPTS = Integer.MAX_VALUE;

  private final Platform platform;
  private final ConfirmedWrites writes;
  private final FileStore files;
  private final SegmentClaims claims;
  private final BatchRules rules;
  private final HostId self;
  private final long incarnation;
  private final LongSupplier nanoClock;

  SegmentStore(
      Platform platform,
      ConfirmedWrites writes,
      FileStore files,
      SegmentClaims claims,
      BatchRules rules,
      HostId self,
      long incarnation,
      LongSupplier nanoClock) {
    this.platform = checkNotNull(platform, "platform");
    this.writes = checkNotNull(writes, "writes");
    this.files = checkNotNull(files, "files");
    this.claims = checkNotNull(claims, "claims");
    this.rules = checkNotNull(rules, "rules");
    this.self = checkNotNull(self, "self");
    this.incarnation = incarnation;
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /**
   * The result of a search for a segment to claim.
   *
   * @param claimed the segment, if one was claimed
   * @param allFinished whether every segment of the job is finished
   */
  record Search(Optional<RunningSegment> claimed, boolean allFinished) {}

  /** A segment's stored record and its version; version 0 if it was never claimed. */
  private record StoredState(SegmentState state, long version) {}

  /**
   * Claims one segment of a job, if one is unclaimed or its holder has failed.
   *
   * @param isRunningHere returns whether this host runs a segment already
   * @param isSuperseded returns whether a holder certainly no longer runs
   */
  Search claimOne(
      JobManifest job, Predicate<SegmentId> isRunningHere, Predicate<SegmentState> isSuperseded) {
    Map<Integer, StoredState> storedStates = readStates(job);
    boolean allFinished = true;
    int count = job.itemsOfSegment().size();
    // Hosts start at different segments, so that few of their claims conflict.
    int first = Math.floorMod((self + "/" + job.jobId()).hashCode(), count);
    for (int i = 0; i < count; i++) {
      int index = (first + i) % count;
      SegmentId segment = new SegmentId(job.jobId(), index);
      StoredState current =
          storedStates.getOrDefault(index, new StoredState(SegmentState.unclaimed(), 0));
      allFinished &= current.state().finished();
      boolean claimable =
          !isRunningHere.test(segment)
              && claims.isClaimable(
                  segment, current.version(), current.state(), isSuperseded, nanoClock.getAsLong());
      if (!claimable) {
        continue;
      }
      Optional<RunningSegment> claimed = claim(job, segment, current);
      if (claimed.isPresent()) {
        return new Search(claimed, false);
      }
    }
    return new Search(Optional.empty(), allFinished);
  }

  /** Writes a checkpoint, however long the platform takes; returns false if the claim was lost. */
  boolean commit(RunningSegment segment, Checkpoint checkpoint) {
    for (Checkpoint.Part part : checkpoint.parts()) {
      WriteOutcome written =
          writes.write(
              ObjectKind.RESULT, part.name(), Platform.ABSENT, part.lines(), MAX_COMMIT_ATTEMPTS);
      if (!written.isApplied()) {
        return false;
      }
    }
    SegmentId id = segment.progress().segment();
    WriteOutcome written =
        writes.write(
            ObjectKind.SEGMENT,
            id.objectName(),
            checkpoint.expectedVersion(),
            JsonCodec.encode(checkpoint.state()),
            MAX_COMMIT_ATTEMPTS);
    if (!written.isApplied()) {
      logger.atInfo().log(
          "batch: claim of segment %s lost: checkpoint write %s", id, written.result());
      return false;
    }
    segment.progress().onCommitted(checkpoint, written.version(), nanoClock.getAsLong());
    return true;
  }

  private Map<Integer, StoredState> readStates(JobManifest job) {
    Map<Integer, StoredState> states = new HashMap<>();
    String prefix = job.jobId() + "/";
    for (VersionedObject object :
        CollectionReader.readAll(platform, ObjectKind.SEGMENT, prefix).objects()) {
      SegmentState state = JsonCodec.decode(object.value(), SegmentState.class);
      states.put(
          SegmentId.ofObjectName(object.name()).index(), new StoredState(state, object.version()));
    }
    return states;
  }

  private Optional<RunningSegment> claim(JobManifest job, SegmentId segment, StoredState current) {
    SegmentState claimed = current.state().claimedBy(self, incarnation);
    long sentAtNanos = nanoClock.getAsLong();
    WriteOutcome written =
        writes.write(
            ObjectKind.SEGMENT,
            segment.objectName(),
            current.version(),
            JsonCodec.encode(claimed),
            MAX_CLAIM_ATTEMPTS);
    if (!written.isApplied()) {
      return Optional.empty();
    }
    logger.atInfo().log(
        "batch: claimed segment %s with fencing number %s", segment, claimed.fencing());
    SegmentProgress progress =
        new SegmentProgress(
            rules,
            segment,
            job.itemsOfSegment().get(segment.index()),
            job.maxAttempts(),
            claimed,
            written.version(),
            sentAtNanos);
    return Optional.of(
        new RunningSegment(job, progress, files.readPart(job.inputFile(), segment.index())));
  }
}
