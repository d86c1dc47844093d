package org.trefoilbarrow.operators;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/** An operator's specification of one entity. Implementations are immutable records. */
public sealed interface EntitySpec
    permits BackendServerSpec,
        BatchRuleSpec,
        FailureDomainSpec,
        KeySpec,
        OrganisationSpec,
        RouteSpec {

  /** Returns the kind of entity that this specification describes. */
  @JsonIgnore
  EntityKind kind();

  /** Returns the entities that must exist for this specification to be valid. */
  @JsonIgnore
  default List<EntityReference> references() {
    return List.of();
  }
}
