package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.trefoilbarrow.coordination.token.Grant;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.EntityReference;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.state.ConfigurationTable;

/** The grants of resources, read from the configuration. */
final class ConfiguredGrants {
  private final ConfigurationTable configuration;

  ConfiguredGrants(ConfigurationTable configuration) {
    this.configuration = checkNotNull(configuration, "configuration");
  }

  /** Returns the grant of a resource, if the configuration defines one. */
  Optional<Grant> of(String resource) {
    OrganisationId organisation = ResourceNames.organisationOf(resource);
    return configuration
        .find(new EntityReference(EntityKind.ORGANISATION, organisation.value()))
        .map(
            found -> {
              OrganisationSpec spec = (OrganisationSpec) found.entity().spec();
              return new Grant(spec.requestsPerSecond(), spec.burst(), found.version());
            });
  }
}
