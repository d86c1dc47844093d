/**
 * Rate limits of organisations over all hosts together: holders delegate shares to a resource's
 * owner, which lends tokens to the hosts that have callers.
 *
 * <p>Read first the three state machines, one for each role of a host: {@link
 * org.trefoilbarrow.coordination.token.ShareDelegations} for a share holder, {@link
 * org.trefoilbarrow.coordination.token.TokenPool} for an owner and {@link
 * org.trefoilbarrow.coordination.token.BorrowedTokens} for a host with callers.
 *
 * <p>The invariant behind the bound: over all hosts together, the tokens that can be spent without
 * further accrual never exceed the burst, and each share accrues tokens at one host at a time.
 * Hence the tokens acquired in any window are at most the burst plus the rate times the window.
 * Times are readings of the host's monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.token;
