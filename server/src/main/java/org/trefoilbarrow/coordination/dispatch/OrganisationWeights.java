package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.state.fleet.Organisation;

/**
 * The weights of organisations in fair queueing: their rates, and the mean rate for those without.
 * Not thread-safe.
 */
final class OrganisationWeights implements ToDoubleFunction<String> {
  private final FleetView fleet;
  private Optional<Catalog> averaged = Optional.empty();
  private double meanRate = 1;

  OrganisationWeights(FleetView fleet) {
    this.fleet = checkNotNull(fleet, "fleet");
  }

  @Override
  public double applyAsDouble(String organisation) {
    Optional<Catalog> catalog = fleet.catalog();
    if (catalog.isEmpty()) {
      return 1;
    }
    if (averaged.isEmpty() || averaged.get() != catalog.get()) {
      averaged = catalog;
      meanRate =
          catalog.get().organisations().values().stream()
              .mapToDouble(Organisation::ratePerSecond)
              .filter(rate -> rate > 0)
              .average()
              .orElse(1);
    }
    if (organisation.isEmpty()) {
      return meanRate;
    }
    return Optional.ofNullable(catalog.get().organisations().get(OrganisationId.of(organisation)))
        .map(Organisation::ratePerSecond)
        .filter(rate -> rate > 0)
        .orElse(meanRate);
  }
}
