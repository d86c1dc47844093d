package org.trefoilbarrow.coordination.election;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.protocol.HostId;

/**
 * The right of one process to dispatch for all hosts. It lasts until the platform's record names a
 * newer term.
 *
 * @param number the number of the term, above 0; each term has a larger one than the term before
 * @param holder the host that dispatches
 * @param holderStartedMillis when the holder's process started, which tells it from a later process
 *     on the same host; by the holder's clock, in ms since the epoch
 */
public record DispatchTerm(long number, HostId holder, long holderStartedMillis) {
  /** Checks the components. */
  public DispatchTerm {
    checkArgument(number > 0, "number must be above 0: %s", number);
    checkNotNull(holder, "holder");
  }

  /** Returns whether the given process holds the term. */
  public boolean isHeldBy(HostId host, long startedMillis) {
    return holder.equals(host) && holderStartedMillis == startedMillis;
  }
}
