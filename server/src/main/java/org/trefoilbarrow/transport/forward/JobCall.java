package org.trefoilbarrow.transport.forward;

import org.trefoilbarrow.protocol.JobId;

/** A request of a caller that concerns a batch job submitted before. */
public sealed interface JobCall {

  /** Returns the job. */
  JobId job();

  /**
   * Reads results.
   *
   * @param job the job
   * @param position the position of the first result wanted, counted from 0
   * @param waitMillis how long to wait for a result
   */
  record ReadResults(JobId job, int position, long waitMillis) implements JobCall {}

  /**
   * Reads the body of an item.
   *
   * @param job the job
   * @param item the item's identifier
   */
  record ReadItem(JobId job, String item) implements JobCall {}

  /**
   * Cancels a job.
   *
   * @param job the job
   */
  record Cancel(JobId job) implements JobCall {}
}
