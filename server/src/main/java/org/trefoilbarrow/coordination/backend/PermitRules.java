package org.trefoilbarrow.coordination.backend;

import java.time.Duration;

/**
 * The times that the permit scheduler applies.
 *
 * @param coldFor how long a backend server stays cold after its first success
 * @param rampFor how long the permits take to grow from the cold permits to all
 * @param idleFor how long a backend server may go without a success before it is probed again
 * @param retryAfter the base of the backoff after a backend server was unreachable, doubled by each
 *     failure in a row
 * @param maxRetryAfter the longest backoff
 * @param peakWindow how long permits that online work used are kept free of batch work
 * @param loan how long a permit is lent to another host, from the send of its request; all hosts
 *     must use the same
 * @param loanMargin how much longer the lender counts a loan than the borrower
 */
public record PermitRules(
    Duration coldFor,
    Duration rampFor,
    Duration idleFor,
    Duration retryAfter,
    Duration maxRetryAfter,
    Duration peakWindow,
    Duration loan,
    Duration loanMargin) {}
