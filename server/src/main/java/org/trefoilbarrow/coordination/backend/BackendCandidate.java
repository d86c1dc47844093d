package org.trefoilbarrow.coordination.backend;

/**
 * A backend server that may take a request now.
 *
 * @param definition what the configuration states about it
 * @param inProgress this host's requests there, and the permits that it has lent
 * @param limit the most that this host may have there
 */
public record BackendCandidate(BackendDefinition definition, int inProgress, int limit) {}
