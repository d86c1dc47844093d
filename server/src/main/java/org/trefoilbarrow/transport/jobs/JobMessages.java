package org.trefoilbarrow.transport.jobs;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.trefoilbarrow.protocol.RequestJob.Result;
import org.trefoilbarrow.transport.forward.JobGateway.Certainty;
import org.trefoilbarrow.transport.forward.JobGateway.JobAnswer;
import org.trefoilbarrow.transport.link.generated.JobAnswerMessage;
import org.trefoilbarrow.transport.link.generated.JobResultMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;

/** Converts answers to reads of jobs to and from the messages between hosts. */
final class JobMessages {
  private JobMessages() {}

  static LinkMessage toMessage(long read, JobAnswer answer) {
    JobAnswerMessage message =
        new JobAnswerMessage(
            read,
            answer.certainty().ordinal(),
            answer.total(),
            answer.results().stream()
                .map(
                    result ->
                        new JobResultMessage(result.item(), result.completed(), result.output()))
                .toList());
    answer.body().ifPresent(message::setBody);
    return LinkMessage.jobAnswer(message);
  }

  static JobAnswer toAnswer(JobAnswerMessage message) {
    return new JobAnswer(
        Certainty.values()[message.getState()],
        message.getTotal(),
        message.getResults().stream()
            .map(result -> new Result(result.getItem(), result.isCompleted(), result.getOutput()))
            .collect(ImmutableList.toImmutableList()),
        message.isSetBody() ? Optional.of(message.getBody()) : Optional.empty());
  }
}
