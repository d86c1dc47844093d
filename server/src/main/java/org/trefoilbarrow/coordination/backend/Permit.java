package org.trefoilbarrow.coordination.backend;

import org.trefoilbarrow.protocol.OrganisationId;

/**
 * The right to have one request in progress at a backend server.
 *
 * @param id identifies the permit at this host
 * @param workClass the class of the work
 * @param organisation the organisation that the work runs for
 * @param backend the backend server
 */
public record Permit(
    long id, WorkClass workClass, OrganisationId organisation, BackendDefinition backend) {}
