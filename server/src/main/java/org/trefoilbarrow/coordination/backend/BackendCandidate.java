package org.trefoilbarrow.coordination.backend;

/**
 * A backend server that may get a request now.
 *
 * @param definition what the configuration states about it
 * @param inProgress this host's requests in progress there, plus the permits that it has lent
 * @param limit the most requests that this host may have in progress there, lent permits included
 */
public record BackendCandidate(BackendDefinition definition, int inProgress, int limit) {}
