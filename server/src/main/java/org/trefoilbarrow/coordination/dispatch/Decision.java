package org.trefoilbarrow.coordination.dispatch;

import org.trefoilbarrow.protocol.BackendServerId;

/** What the dispatcher decided of a demand. */
public sealed interface Decision {

  /** Returns the demand. */
  DemandId demand();

  /**
   * The demand has a place.
   *
   * @param demand the demand
   * @param backend where to send it
   */
  record Placed(DemandId demand, BackendServerId backend) implements Decision {}

  /**
   * The demand gets no place.
   *
   * @param demand the demand
   * @param reason why
   * @param retryAfterMillis when the caller may come back
   */
  record Refused(DemandId demand, RefusalReason reason, long retryAfterMillis)
      implements Decision {}

  /**
   * The place of a batch item is needed; its runner ends the run and asks again.
   *
   * @param demand the demand
   */
  record Revoked(DemandId demand) implements Decision {}
}
