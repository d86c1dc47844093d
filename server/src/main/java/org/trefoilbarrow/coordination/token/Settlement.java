package org.trefoilbarrow.coordination.token;

import org.trefoilbarrow.protocol.HostId;

/**
 * The end of a loan, with which the borrower returns unspent tokens.
 *
 * @param owner the host that lent the tokens
 * @param loanId identifies the loan at the owner
 * @param unspent the number of tokens returned
 */
public record Settlement(HostId owner, long loanId, int unspent) {}
