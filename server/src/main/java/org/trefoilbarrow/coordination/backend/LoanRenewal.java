package org.trefoilbarrow.coordination.backend;

/**
 * A lender's renewal of the loan of a permit.
 *
 * @param id identifies the loan at its lender
 * @param validNanos how long the loan lasts from the send of the request, in nanoseconds
 * @param recalled whether the borrower must return the permit once its request in progress has
 *     ended
 */
public record LoanRenewal(long id, long validNanos, boolean recalled) {}
