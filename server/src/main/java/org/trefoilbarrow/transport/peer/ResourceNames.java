package org.trefoilbarrow.transport.peer;

import org.trefoilbarrow.protocol.OrganisationId;

/** Converts between organisations and the names of their resources in messages. */
final class ResourceNames {
  private static final String ORGANISATION_PREFIX = "organisation/";

  private ResourceNames() {}

  static String ofOrganisation(OrganisationId organisation) {
    return ORGANISATION_PREFIX + organisation;
  }

  static OrganisationId organisationOf(String resource) {
    return OrganisationId.of(resource.substring(ORGANISATION_PREFIX.length()));
  }
}
