package org.trefoilbarrow.transport.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestJob;

/** Accepts, reads and cancels batch jobs. Results are passed on the event loop's thread. */
public interface JobGateway {

  /** The outcome of a submission or a cancellation. */
  enum Outcome {
    /** It is stored durably. */
    DONE,
    /** It was not stored and will not be. */
    REFUSED,
    /** It may be stored, or may be stored later. */
    UNKNOWN,
    /** The organisation has no such job. */
    NO_SUCH_JOB
  }

  /** Whether a read found the job. */
  enum Certainty {
    /** The job exists. */
    FOUND,
    /** The job does not exist. */
    ABSENT,
    /** The host cannot determine at present whether the job exists. */
    UNSURE
  }

  /**
   * The answer to a read.
   *
   * @param certainty whether the job was found
   * @param total the number of items of the job
   * @param results the requested results
   * @param body the body of the requested item; absent if the job has no such item
   */
  record JobAnswer(
      Certainty certainty, int total, List<RequestJob.Result> results, Optional<byte[]> body) {
    /** Returns an answer without results and without a body. */
    public static JobAnswer of(Certainty certainty) {
      return new JobAnswer(certainty, 0, List.of(), Optional.empty());
    }
  }

  /** Stores a job; idempotent for jobs with the same identifier of one organisation. */
  void submit(RequestJob job, Consumer<Outcome> done);

  /** Reads the results of a job from a position on; waits up to the given time if there is none. */
  void read(
      JobId job,
      OrganisationId organisation,
      int position,
      long waitMillis,
      Consumer<JobAnswer> done);

  /** Reads the body of an item. */
  void readItem(JobId job, OrganisationId organisation, String item, Consumer<JobAnswer> done);

  /** Cancels a job: no further items are run. Idempotent. */
  void cancel(JobId job, OrganisationId organisation, Consumer<Outcome> done);
}
