package org.trefoilbarrow.protocol;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The stored record of a batch job. The job is accepted once the platform has stored this record.
 *
 * @param jobId the job
 * @param organisation the owner
 * @param inputFile the file whose parts are the job's segments
 * @param requestDigest the digest of the submission, by which a repeated submission is recognised
 * @param createdAtSeconds the time of submission, in seconds since the epoch
 * @param dueAtSeconds the time by which the job should end, in seconds since the epoch
 * @param itemsOfSegment the number of items in each segment
 * @param maxAttempts the maximum number of attempts at an item before it fails
 * @param state the job's state
 * @param endedAtSeconds the time at which the job ended, in seconds since the epoch; 0 before the
 *     end
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
  /** Copies the mutable components. */
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
