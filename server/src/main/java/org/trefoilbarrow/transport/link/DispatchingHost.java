package org.trefoilbarrow.transport.link;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.trefoilbarrow.coordination.election.DispatchElection;
import org.trefoilbarrow.protocol.HostId;

/**
 * The host that dispatches for this one, in one term.
 *
 * @param host the dispatching host, which may be this one; empty if this host reaches none and
 *     dispatches for itself alone
 * @param isSelf whether this host dispatches, for all hosts
 * @param term the number of the term; 0 without a dispatching host
 */
record DispatchingHost(Optional<HostId> host, boolean isSelf, long term) {
  /** No dispatching host. */
  static final DispatchingHost NONE = new DispatchingHost(Optional.empty(), false, 0);

  DispatchingHost {
    checkNotNull(host, "host");
  }

  /** Returns the dispatching host by an election at a host. */
  static DispatchingHost of(DispatchElection election, PeerAddress self, long nowNanos) {
    return election
        .followed(nowNanos)
        .map(
            term ->
                new DispatchingHost(
                    Optional.of(term.holder()),
                    term.isHeldBy(self.host(), self.startedMillis()),
                    term.number()))
        .orElse(NONE);
  }

  /** Returns the dispatching host if it is another one than this. */
  Optional<HostId> remote() {
    return isSelf ? Optional.empty() : host;
  }
}
