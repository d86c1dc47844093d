package org.trefoilbarrow.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.trefoilbarrow.coordination.backend.BackendDefinition;
import org.trefoilbarrow.operators.BackendServerSpec;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.FailureDomainSpec;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.protocol.RouteTarget;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.VersionedEntity;

/** Reads the definitions of backend servers from the configuration. */
final class BackendConfiguration {
  private BackendConfiguration() {}

  /**
   * Returns the definitions of all backend servers. A backend server in a failure domain that is
   * out of service receives no new work.
   */
  static ImmutableList<BackendDefinition> read(ConfigurationTable table) {
    return table.list(EntityKind.BACKEND_SERVER).stream()
        .map(entity -> definition(table, entity))
        .collect(ImmutableList.toImmutableList());
  }

  private static BackendDefinition definition(ConfigurationTable table, VersionedEntity entity) {
    BackendServerSpec spec = (BackendServerSpec) entity.entity().spec();
    boolean inService =
        table
            .spec(EntityKind.FAILURE_DOMAIN, spec.failureDomain(), FailureDomainSpec.class)
            .map(FailureDomainSpec::inService)
            .orElse(false);
    return new BackendDefinition(
        BackendServerId.of(entity.entity().name()),
        spec.address(),
        FailureDomainId.of(spec.failureDomain()),
        spec.serves().stream().map(RouteTarget::of).collect(ImmutableSet.toImmutableSet()),
        spec.permits(),
        spec.coldPermits(),
        inService && !spec.leaving());
  }
}
