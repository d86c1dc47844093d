package org.trefoilbarrow.coordination.token;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;

/**
 * The shares of one resource that a holder delegates to the resource's owner.
 *
 * @param delegationId identifies this answer at the holder when the shares are returned
 * @param shares the indices of the shares; empty when nothing is delegated
 * @param tokens the unspent tokens of the shares
 * @param validNanos how long the shares may be used, from the send of the request by the owner's
 *     clock
 * @param grant the grant that the holder knows; an owner that was isolated may know an older one
 */
public record DelegationAnswer(
    long delegationId, Set<Integer> shares, double tokens, long validNanos, Optional<Grant> grant) {
  private static final DelegationAnswer EMPTY =
      new DelegationAnswer(0, ImmutableSet.of(), 0, 0, Optional.empty());

  /** Copies the set of shares. */
  public DelegationAnswer {
    shares = ImmutableSet.copyOf(shares);
  }

  /** Returns the answer that delegates nothing. */
  public static DelegationAnswer empty() {
    return EMPTY;
  }
}
