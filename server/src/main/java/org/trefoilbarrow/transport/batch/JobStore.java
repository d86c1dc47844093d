package org.trefoilbarrow.transport.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.batch.SegmentProgress;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.FileManifest;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.JobManifest;
import org.trefoilbarrow.protocol.JobState;
import org.trefoilbarrow.protocol.JsonCodec;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.SegmentState;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.CollectionReader;
import org.trefoilbarrow.state.ConfirmedWrites;
import org.trefoilbarrow.state.JobManifestTable;
import org.trefoilbarrow.state.ObjectKind;
import org.trefoilbarrow.state.Platform;
import org.trefoilbarrow.state.PlatformException;
import org.trefoilbarrow.state.VersionedObject;
import org.trefoilbarrow.state.WriteOutcome;
import org.trefoilbarrow.transport.platform.PlatformReads;

/**
 * Batch jobs in the platform: submission, progress, results and cancellation. Thread-safe.
 *
 * <p>A job is accepted by the one conditional write that creates its manifest, after all its input
 * is in the platform. Its identifier is derived from the organisation and the idempotency key, so
 * that a repeated submission at any host finds it.
 */
public final class JobStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_WRITE_ATTEMPTS = 5;
  private static final int ID_DIGEST_CHARACTERS = 32;
  private static final String JOB_PREFIX = "batch_";

  private final Platform platform;
  private final ConfirmedWrites writes;
  private final JobManifestTable jobs;
  private final LongSupplier secondsClock;

  /**
   * Creates a store.
   *
   * @param jobs is updated with each job that this host submits or ends
   * @param secondsClock the time of day, in seconds since the epoch
   */
  public JobStore(
      Platform platform, ConfirmedWrites writes, JobManifestTable jobs, LongSupplier secondsClock) {
    this.platform = checkNotNull(platform, "platform");
    this.writes = checkNotNull(writes, "writes");
    this.jobs = checkNotNull(jobs, "jobs");
    this.secondsClock = checkNotNull(secondsClock, "secondsClock");
  }

  /**
   * Submits a job for a stored file, or finds the one that an earlier submission created.
   *
   * @param idempotencyKey the caller's key, or null to create a new job in any case
   * @throws ServiceException if the job was not accepted, or its acceptance is unknown
   */
  public JobManifest submit(
      FileManifest file, long completionSeconds, int maxAttempts, @Nullable String idempotencyKey) {
    long nowSeconds = secondsClock.getAsLong();
    JobManifest manifest =
        new JobManifest(
            newJobId(file.organisation(), idempotencyKey),
            file.organisation(),
            file.fileId(),
            Digests.digest(file.fileId() + "\n" + completionSeconds),
            nowSeconds,
            nowSeconds + completionSeconds,
            file.itemsOfPart(),
            maxAttempts,
            JobState.IN_PROGRESS,
            0);
    String name = objectName(manifest.organisation(), manifest.jobId());
    WriteOutcome written =
        writes.write(
            ObjectKind.JOB, name, Platform.ABSENT, JsonCodec.encode(manifest), MAX_WRITE_ATTEMPTS);
    return switch (written.result()) {
      case APPLIED -> {
        jobs.apply(manifest, written.version());
        logger.atInfo().log(
            "batch: job %s accepted with %s items", manifest.jobId(), manifest.itemCount());
        yield manifest;
      }
      case CONFLICT -> existingJob(manifest);
      case NOT_SENT, TOO_LARGE ->
          throw new ServiceException(
              ErrorKind.PLATFORM_UNAVAILABLE, "the platform does not answer; no job was accepted");
      case UNKNOWN ->
          throw new ServiceException(
              ErrorKind.WRITE_OUTCOME_UNKNOWN,
              "the job may have been accepted; submit it again with the same Idempotency-Key");
    };
  }

  /** Returns a job of an organisation, if it exists. */
  public Optional<JobManifest> find(OrganisationId organisation, JobId jobId) {
    return read(organisation, jobId).map(JobStore::decode);
  }

  /**
   * Returns a job of an organisation.
   *
   * @throws ServiceException if the job does not exist, or the platform does not answer
   */
  public JobManifest get(OrganisationId organisation, JobId jobId) {
    return find(organisation, jobId).orElseThrow(() -> notFound(jobId));
  }

  /** Returns the jobs of an organisation, the newest first. */
  public ImmutableList<JobManifest> list(OrganisationId organisation) {
    return readAll(ObjectKind.JOB, organisation + "/").stream()
        .map(JobStore::decode)
        .sorted(
            Comparator.comparingLong(JobManifest::createdAtSeconds)
                .reversed()
                .thenComparing(job -> job.jobId().value()))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Cancels a job; a job that has ended is left as it is.
   *
   * @return the job after the cancellation
   */
  public JobManifest cancel(OrganisationId organisation, JobId jobId) {
    return end(organisation, jobId, JobState.CANCELLED);
  }

  /** Records that every item of a job has a result, unless it was cancelled first. */
  public JobManifest complete(OrganisationId organisation, JobId jobId) {
    return end(organisation, jobId, JobState.COMPLETED);
  }

  /** Returns the progress of a job. */
  public JobProgress progress(JobManifest job) {
    int done = 0;
    int failed = 0;
    for (SegmentState state : segments(job.jobId())) {
      done += state.doneCount();
      failed += state.failed();
    }
    return new JobProgress(job.itemCount(), done - failed, failed);
  }

  /** Returns whether every item of a job has a committed result. */
  public boolean hasAllResults(JobManifest job) {
    List<SegmentState> states = segments(job.jobId());
    return states.size() == job.itemsOfSegment().size()
        && states.stream().allMatch(SegmentState::finished);
  }

  /**
   * Writes the committed results of a job, in the order of its segments.
   *
   * @param errors whether to write the results of failed items, or those of the others
   */
  public void writeResults(JobManifest job, boolean errors, OutputStream output)
      throws IOException {
    Predicate<String> hasKind = part -> part.endsWith(SegmentProgress.ERRORS_SUFFIX) == errors;
    for (SegmentState state : segments(job.jobId())) {
      for (String part : state.parts().stream().filter(hasKind).toList()) {
        output.write(readResult(part).getBytes(StandardCharsets.UTF_8));
      }
    }
  }

  /** Returns the records of a job's segments that were ever claimed, in order. */
  public List<SegmentState> segments(JobId jobId) {
    return readAll(ObjectKind.SEGMENT, jobId + "/").stream()
        .map(object -> JsonCodec.decode(object.value(), SegmentState.class))
        .toList();
  }

  static String objectName(OrganisationId organisation, JobId jobId) {
    return organisation + "/" + jobId;
  }

  static JobManifest decode(VersionedObject object) {
    return JsonCodec.decode(object.value(), JobManifest.class);
  }

  private String readResult(String part) throws IOException {
    try {
      return platform
          .read(ObjectKind.RESULT, part)
          .map(VersionedObject::value)
          .orElseThrow(() -> new IOException("result part is missing: " + part));
    } catch (PlatformException e) {
      throw new IOException("result part could not be read: " + part, e);
    }
  }

  private JobManifest existingJob(JobManifest wanted) {
    JobManifest found =
        find(wanted.organisation(), wanted.jobId())
            .orElseThrow(
                () ->
                    new ServiceException(
                        ErrorKind.WRITE_OUTCOME_UNKNOWN, "the job existed but was just removed"));
    if (!found.requestDigest().equals(wanted.requestDigest())) {
      throw new ServiceException(
          ErrorKind.IDEMPOTENCY_KEY_REUSED, "the idempotency key belongs to another job");
    }
    return found;
  }

  private JobManifest end(OrganisationId organisation, JobId jobId, JobState state) {
    while (true) {
      VersionedObject object = read(organisation, jobId).orElseThrow(() -> notFound(jobId));
      JobManifest current = decode(object);
      if (current.state() != JobState.IN_PROGRESS) {
        jobs.apply(current, object.version());
        return current;
      }
      JobManifest ended = current.endedAs(state, secondsClock.getAsLong());
      WriteOutcome written =
          writes.write(
              ObjectKind.JOB,
              objectName(organisation, jobId),
              object.version(),
              JsonCodec.encode(ended),
              MAX_WRITE_ATTEMPTS);
      switch (written.result()) {
        case APPLIED -> {
          jobs.apply(ended, written.version());
          logger.atInfo().log("batch: job %s ended as %s", jobId, state);
          return ended;
        }
        case CONFLICT -> {
          // Another host changed the job first: read it again.
        }
        case UNKNOWN, NOT_SENT ->
            throw new ServiceException(
                ErrorKind.WRITE_OUTCOME_UNKNOWN,
                "whether batch \"%s\" was ended is unknown",
                jobId);
      }
    }
  }

  private Optional<VersionedObject> read(OrganisationId organisation, JobId jobId) {
    return PlatformReads.answerOf(
        () -> platform.read(ObjectKind.JOB, objectName(organisation, jobId)));
  }

  private List<VersionedObject> readAll(ObjectKind kind, String prefix) {
    return PlatformReads.answerOf(() -> CollectionReader.readAll(platform, kind, prefix).objects());
  }

  private static ServiceException notFound(JobId jobId) {
    return new ServiceException(ErrorKind.NOT_FOUND, "batch \"%s\" does not exist", jobId);
  }

  private static JobId newJobId(OrganisationId organisation, @Nullable String idempotencyKey) {
    if (idempotencyKey == null) {
      return JobId.of(Digests.newSecret(JOB_PREFIX));
    }
    String digest = Digests.digest(organisation + "\n" + idempotencyKey);
    return JobId.of(JOB_PREFIX + digest.substring(0, ID_DIGEST_CHARACTERS));
  }
}
