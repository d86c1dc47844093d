package org.trefoilbarrow.settings;

/**
 * The parameters of shares, delegations and loans; must be the same on all hosts.
 *
 * @param count the number of shares into which each limit is divided
 * @param leaseMillis how long a share is held without renewal, in milliseconds
 * @param claimWaitMillis how long a claimed share stays unused after the claim, in milliseconds
 * @param clockMarginMillis the maximum drift between clocks over a lease, in milliseconds
 * @param delegationMillis how long shares are delegated to the owner of a resource, in milliseconds
 * @param loanMillis how long tokens are lent to a host, in milliseconds
 * @param marginMillis by how much longer the lender waits than the borrower, in milliseconds
 * @param staticHosts the number of hosts among which each grant is divided evenly and without
 *     messages, or 0 to use delegations and loans
 */
public record SharesSettings(
    int count,
    int leaseMillis,
    int claimWaitMillis,
    int clockMarginMillis,
    int delegationMillis,
    int loanMillis,
    int marginMillis,
    int staticHosts) {}
