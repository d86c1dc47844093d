package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.OrganisationId;
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
 * @param caller the organisation that the work is done for, if known; unlike {@link
 *     Demand#organisation}, also of work that is charged to no rate
 */
public record WorkProfile(
    String route,
    Optional<FailureDomainId> callerDomain,
    WorkSize size,
    long expectedRunNanos,
    ImmutableList<Integer> promptPartTokens,
    Optional<OrganisationId> caller) {
  /** The profile of work of which nothing is known. */
  public static final WorkProfile UNKNOWN =
      new WorkProfile("", Optional.empty(), WorkSize.UNKNOWN, 0, ImmutableList.of());

  /** Checks the components. */
  public WorkProfile {
    checkNotNull(route, "route");
    checkNotNull(callerDomain, "callerDomain");
    checkNotNull(size, "size");
    checkNotNull(promptPartTokens, "promptPartTokens");
    checkNotNull(caller, "caller");
  }

  /** Creates the profile of work whose organisation is not known. */
  public WorkProfile(
      String route,
      Optional<FailureDomainId> callerDomain,
      WorkSize size,
      long expectedRunNanos,
      ImmutableList<Integer> promptPartTokens) {
    this(route, callerDomain, size, expectedRunNanos, promptPartTokens, Optional.empty());
  }

  /** Returns a copy with the organisation that the work is done for. */
  public WorkProfile withCaller(Optional<OrganisationId> organisation) {
    return new WorkProfile(
        route, callerDomain, size, expectedRunNanos, promptPartTokens, organisation);
  }
}
