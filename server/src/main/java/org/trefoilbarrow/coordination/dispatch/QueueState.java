package org.trefoilbarrow.coordination.dispatch;

/**
 * The queue of an organisation for which a demand was refused, for logs.
 *
 * @param organisation the organisation; empty if the demand states none
 * @param length the number of its waiting demands
 * @param waitNanos the expected wait of one more
 * @param share the fraction of the slots that the queue gets
 * @param ageNanos for how long the queue has not been empty
 */
public record QueueState(
    String organisation, int length, long waitNanos, double share, long ageNanos) {}
