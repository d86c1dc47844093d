/**
 * Tokens of organisations over all hosts together: delegation of shares to an owner, and loans of
 * tokens from the owner to the hosts that have callers.
 *
 * <p>Three state machines, one for each part that a host plays for a resource: {@link
 * org.trefoilbarrow.coordination.token.ShareDelegations} for a share holder, {@link
 * org.trefoilbarrow.coordination.token.TokenPool} for an owner and {@link
 * org.trefoilbarrow.coordination.token.BorrowedTokens} for a host with callers.
 *
 * <p>The invariant that carries the bound: over all places together, the tokens that can be spent
 * without further minting never exceed the burst, and each share mints in one place at a time.
 * Hence the tokens taken in any window are at most the burst plus the rate times the window. Times
 * are readings of the host's own monotonic clock, in nanoseconds.
 */
package org.trefoilbarrow.coordination.token;
