package org.trefoilbarrow.coordination.backend;

import org.trefoilbarrow.protocol.BackendServerId;

/**
 * The state of a backend server as one host sees it.
 *
 * @param backend the backend server
 * @param temperature its state since its start
 * @param online the host's online requests in progress there
 * @param batch the host's batch requests in progress there
 * @param lent the permits that the host has lent to others
 * @param borrowed the requests in progress on permits borrowed from other hosts
 * @param limit the most requests that the host may have in progress there on its own permits, lent
 *     ones included
 */
public record BackendReport(
    BackendServerId backend,
    Temperature temperature,
    int online,
    int batch,
    int lent,
    int borrowed,
    int limit) {}
