package org.trefoilbarrow.transport.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.JobId;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.transport.link.PlacementClient;
import org.trefoilbarrow.transport.link.generated.JobReadMessage;
import org.trefoilbarrow.transport.link.generated.LinkMessage;

/** Answers the reads of request jobs that other hosts send. */
public final class JobReadServer implements PlacementClient.MessageHandler {
  private final RequestJobTable table;

  /** Creates a server that reads from the given table. */
  public JobReadServer(RequestJobTable table) {
    this.table = checkNotNull(table, "table");
  }

  @Override
  public void received(HostId from, LinkMessage message, Reply reply) {
    if (!message.isSetJobRead()) {
      return;
    }
    JobReadMessage read = message.getJobRead();
    JobId job = JobId.of(read.getJob());
    OrganisationId organisation = OrganisationId.of(read.getOrganisation());
    if (read.isSetItem()) {
      table.readItem(
          job,
          organisation,
          read.getItem(),
          answer -> reply.send(JobMessages.toMessage(read.getRead(), answer)));
    } else {
      table.read(
          job,
          organisation,
          read.getPosition(),
          read.getWaitMillis(),
          answer -> reply.send(JobMessages.toMessage(read.getRead(), answer)));
    }
  }
}
