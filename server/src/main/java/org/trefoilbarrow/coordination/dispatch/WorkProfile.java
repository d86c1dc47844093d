package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.WorkSize;

/**
 * What is known about work before it runs, apart from its order.
 *
 * @param route the name of its route; empty if unknown
 * @param callerDomain the failure domain of the host that requests the slot, if known
 * @param size its size in tokens
 * @param expectedRunNanos how much longer a batch item is expected to run; 0 if unknown
 * @param promptPartTokens the number of tokens of each shared part of its prompt, in their order;
 *     empty if unknown
 */
public record WorkProfile(
    String route,
    Optional<FailureDomainId> callerDomain,
    WorkSize size,
    long expectedRunNanos,
    ImmutableList<Integer> promptPartTokens) {
  /** The profile of work of which nothing is known. */
  public static final WorkProfile UNKNOWN =
      new WorkProfile("", Optional.empty(), WorkSize.UNKNOWN, 0, ImmutableList.of());

  /** Checks the components. */
  public WorkProfile {
    checkNotNull(route, "route");
    checkNotNull(callerDomain, "callerDomain");
    checkNotNull(size, "size");
    checkNotNull(promptPartTokens, "promptPartTokens");
  }
}
