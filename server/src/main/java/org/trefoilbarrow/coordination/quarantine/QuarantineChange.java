package org.trefoilbarrow.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.PromptPartId;

/**
 * A quarantine that has begun or ended.
 *
 * @param kind what happened
 * @param part the prompt part
 * @param untilNanos when the quarantine ends
 * @param durationNanos how long it lasts
 * @param evidence the ends of backend servers that led to it, the first one first
 */
public record QuarantineChange(
    Kind kind,
    PromptPartId part,
    long untilNanos,
    long durationNanos,
    ImmutableList<Evidence> evidence) {
  /** What happened to a quarantine. */
  public enum Kind {
    /** The part was quarantined for the first time. */
    STARTED,
    /** The part ended a backend server on probation and was quarantined again. */
    RENEWED,
    /** The time is over; the part is on probation. */
    ENDED,
    /** The part was seen to be sound, or another part explains all the ends and more. */
    CLEARED,
    /** The probation is over. */
    PROBATION_ENDED
  }

  /**
   * One end of a backend server.
   *
   * @param backend the backend server
   * @param hosts the hosts that saw it
   * @param endNanos when it ended
   */
  public record Evidence(BackendServerId backend, ImmutableList<HostId> hosts, long endNanos) {
    /** Checks the components. */
    public Evidence {
      checkNotNull(backend, "backend");
      checkNotNull(hosts, "hosts");
    }
  }

  /** Checks the components. */
  public QuarantineChange {
    checkNotNull(kind, "kind");
    checkNotNull(part, "part");
    checkNotNull(evidence, "evidence");
  }
}
