package org.trefoilbarrow.coordination.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.PromptPartId;

/**
 * The end of a backend server, as one host saw it with one request that was sent and whose response
 * had not begun.
 *
 * @param host the host that saw it
 * @param backend the backend server that ended
 * @param domain its failure domain
 * @param parts the shared prompt parts of the request, in their order
 * @param soundNanos when the host last saw that a part is sound, for the parts of which it knows
 * @param endNanos when the connection broke
 */
public record ServerEnd(
    HostId host,
    BackendServerId backend,
    FailureDomainId domain,
    ImmutableList<PromptPartId> parts,
    ImmutableMap<PromptPartId, Long> soundNanos,
    long endNanos) {
  /** Checks the components. */
  public ServerEnd {
    checkNotNull(host, "host");
    checkNotNull(backend, "backend");
    checkNotNull(domain, "domain");
    checkNotNull(parts, "parts");
    checkNotNull(soundNanos, "soundNanos");
  }
}
