package org.trefoilbarrow.coordination.share;

/**
 * A share that this host may use.
 *
 * @param index the share's index, from 0
 * @param usableFromNanos the time from which the share may be used, by this host's clock
 * @param heldUntilNanos the time at which the lease ends, by this host's clock
 */
public record HeldShare(int index, long usableFromNanos, long heldUntilNanos) {}
