package org.trefoilbarrow.coordination.token;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;

/**
 * What a share holder gives to an owner for one resource.
 *
 * @param delegationId identifies this answer at the holder, for the return of the shares
 * @param shares the indices of the shares; empty when the holder gives nothing
 * @param tokens the tokens that come with the shares
 * @param validNanos how long the shares may be used, counted from the send of the request by the
 *     asker's clock
 * @param grant the grant that the holder knows; an owner that was cut off may know an older one
 */
public record DelegationAnswer(
    long delegationId, Set<Integer> shares, double tokens, long validNanos, Optional<Grant> grant) {
  private static final DelegationAnswer EMPTY =
      new DelegationAnswer(0, ImmutableSet.of(), 0, 0, Optional.empty());

  /** Checks the components, and copies those that could change. */
  public DelegationAnswer {
    shares = ImmutableSet.copyOf(shares);
  }

  /** Returns the answer that gives nothing. */
  public static DelegationAnswer empty() {
    return EMPTY;
  }
}
