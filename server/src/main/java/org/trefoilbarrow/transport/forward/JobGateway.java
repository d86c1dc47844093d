package org.trefoilbarrow.transport.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.RequestJob;

/** Accepts, reads and ends batch jobs. Answers come on the thread of the event loop. */
public interface JobGateway {

  /** What became of a submission or an end. */
  enum Outcome {
    /** It is kept for good. */
    DONE,
    /** It has no effect and will have none. */
    REFUSED,
    /** It may have an effect, or get one later. */
    UNKNOWN,
    /** There is no such job of the organisation. */
    NO_SUCH_JOB
  }

  /** How certain a read is. */
  enum Certainty {
    /** The job exists. */
    FOUND,
    /** There is no such job. */
    ABSENT,
    /** The host cannot tell at present. */
    UNSURE
  }

  /**
   * The answer to a read.
   *
   * @param certainty how certain the answer is
   * @param total the number of items of the job
   * @param results the results that were asked for
   * @param body the body of the item that was asked for; absent if the job has no such item
   */
  record JobAnswer(
      Certainty certainty, int total, List<RequestJob.Result> results, Optional<byte[]> body) {
    /** Returns an answer without content. */
    public static JobAnswer of(Certainty certainty) {
      return new JobAnswer(certainty, 0, List.of(), Optional.empty());
    }
  }

  /** Accepts a job, or finds that it was accepted before. */
  void submit(RequestJob job, Consumer<Outcome> done);

  /** Reads the results of a job from a position on, and waits if there is none. */
  void read(
      JobId job,
      OrganisationId organisation,
      int position,
      long waitMillis,
      Consumer<JobAnswer> done);

  /** Reads the body of an item. */
  void readItem(JobId job, OrganisationId organisation, String item, Consumer<JobAnswer> done);

  /** Ends a job. */
  void cancel(JobId job, OrganisationId organisation, Consumer<Outcome> done);
}
