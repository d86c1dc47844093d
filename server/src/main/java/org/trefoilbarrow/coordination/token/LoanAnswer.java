package org.trefoilbarrow.coordination.token;

/**
 * The tokens of one resource that an owner lends to a host.
 *
 * @param loanId identifies the loan at the owner
 * @param tokens the number of tokens lent; 0 when the owner has none
 * @param validNanos how long the tokens may be spent, from the send of the request by the
 *     borrower's clock
 * @param wholeGrant whether the owner had all shares; if so, a lack of tokens means that the
 *     organisation is over its rate
 */
public record LoanAnswer(long loanId, int tokens, long validNanos, boolean wholeGrant) {}
