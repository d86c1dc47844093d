package org.trefoilbarrow.protocol;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The platform's record of a batch job. A job is accepted once this record is written.
 *
 * @param jobId the job
 * @param organisation the owner
 * @param inputFile the file whose parts are the job's segments
 * @param requestDigest the digest of the submission, by which a resend is recognised
 * @param createdAtSeconds the time of submission, in seconds since the epoch
 * @param dueAtSeconds the time by which the job should end, in seconds since the epoch
 * @param itemsOfSegment the number of items in each segment
 * @param maxAttempts how often an item is tried before it ends as failed
 * @param state the job's state
 * @param endedAtSeconds the time at which the job ended, or 0, in seconds since the epoch
 */
public record JobManifest(
    JobId jobId,
    OrganisationId organisation,
    FileId inputFile,
    String requestDigest,
    long createdAtSeconds,
    long dueAtSeconds,
    List<Integer> itemsOfSegment,
    int maxAttempts,
    JobState state,
    long endedAtSeconds) {
  /** Checks the components, and copies those that could change. */
  public JobManifest {
    itemsOfSegment = ImmutableList.copyOf(itemsOfSegment);
  }

  /** Returns this job, ended in the given state. */
  public JobManifest endedAs(JobState endState, long nowSeconds) {
    return new JobManifest(
        jobId,
        organisation,
        inputFile,
        requestDigest,
        createdAtSeconds,
        dueAtSeconds,
        itemsOfSegment,
        maxAttempts,
        endState,
        nowSeconds);
  }

  /** Returns the number of items in the job. */
  public int itemCount() {
    return itemsOfSegment.stream().mapToInt(Integer::intValue).sum();
  }
}
