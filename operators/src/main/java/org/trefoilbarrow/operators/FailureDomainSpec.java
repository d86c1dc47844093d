package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Describes a failure domain.
 *
 * @param region the region that the failure domain is in
 * @param inService whether backend servers in it receive new work
 */
public record FailureDomainSpec(String region, boolean inService) implements EntitySpec {
  /** Validates the components. */
  public FailureDomainSpec {
    checkNotNull(region, "region");
  }

  @Override
  public EntityKind kind() {
    return EntityKind.FAILURE_DOMAIN;
  }
}
