package org.trefoilbarrow.protocol;

/**
 * Identifies a segment of a batch job.
 *
 * @param jobId the job
 * @param index the position of the segment in the job, from 0
 */
public record SegmentId(JobId jobId, int index) {

  /** Returns the name of the segment's object; names sort in the order of the segments. */
  public String objectName() {
    return String.format("%s/%06d", jobId, index);
  }

  /** Returns the segment that an object name denotes. */
  public static SegmentId ofObjectName(String name) {
    int slash = name.lastIndexOf('/');
    return new SegmentId(
        JobId.of(name.substring(0, slash)), Integer.parseInt(name.substring(slash + 1)));
  }

  @Override
  public String toString() {
    return objectName();
  }
}
