package org.trefoilbarrow.coordination.dispatch;

import java.util.Optional;
import org.trefoilbarrow.coordination.quarantine.PartQuarantine;
import org.trefoilbarrow.protocol.BackendServerId;

/** What the dispatcher decided about a demand: placed, refused or revoked. */
public sealed interface Decision {

  /** Returns the demand that the decision is about. */
  DemandId demand();

  /**
   * The demand got a slot at a backend server.
   *
   * @param demand the demand
   * @param backend the backend server to send the work to
   */
  record Placed(DemandId demand, BackendServerId backend) implements Decision {}

  /**
   * The demand gets no slot.
   *
   * @param demand the demand
   * @param reason why it was refused
   * @param retryAfterMillis the time after which the caller may try again
   * @param queue the queue that was too long, if that is the reason
   */
  record Refused(
      DemandId demand, RefusalReason reason, long retryAfterMillis, Optional<QueueState> queue)
      implements Decision {
    /** Creates a refusal for another reason than a queue. */
    public Refused(DemandId demand, RefusalReason reason, long retryAfterMillis) {
      this(demand, reason, retryAfterMillis, Optional.empty());
    }
  }

  /**
   * The demand gets no slot, since a part of its prompt is in quarantine.
   *
   * @param demand the demand
   * @param verdict the part, and the time until its quarantine ends
   */
  record Quarantined(DemandId demand, PartQuarantine.Verdict verdict) implements Decision {}

  /**
   * Online work needs the slot of a running batch item: the item's runner must interrupt it and may
   * submit it again.
   *
   * @param demand the demand
   */
  record Revoked(DemandId demand) implements Decision {}
}
