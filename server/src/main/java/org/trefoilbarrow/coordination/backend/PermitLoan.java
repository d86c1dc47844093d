package org.trefoilbarrow.coordination.backend;

import org.trefoilbarrow.protocol.BackendServerId;

/**
 * A permit that one host lends to another.
 *
 * @param id identifies the loan at its lender
 * @param backend the backend server of the permit
 * @param validNanos how long the loan lasts from the send of its request, in nanoseconds
 */
public record PermitLoan(long id, BackendServerId backend, long validNanos) {}
