package org.trefoilbarrow.coordination.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilbarrow.coordination.token.AdjustableTokenBucket;
import org.trefoilbarrow.coordination.token.Grant;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.state.fleet.Catalog;
import org.trefoilbarrow.state.fleet.FleetView;
import org.trefoilbarrow.state.fleet.Organisation;

/** The rate limits of organisations, or a fraction of them. Not thread-safe. */
final class RateLimits {
  private static final double NANOS_PER_SECOND = 1e9;

  private final FleetView fleet;
  private final Map<OrganisationId, AdjustableTokenBucket> buckets = new HashMap<>();
  private double fraction = 1;

  RateLimits(FleetView fleet) {
    this.fleet = checkNotNull(fleet, "fleet");
  }

  /** Returns the fraction of each limit that may be used. */
  double fraction() {
    return fraction;
  }

  /** Sets the fraction of each limit that may be used, above 0 and at most 1. */
  void setFraction(double newFraction) {
    checkArgument(
        newFraction > 0 && newFraction <= 1,
        "fraction must be above 0 and at most 1: %s",
        newFraction);
    fraction = newFraction;
  }

  /**
   * Charges one request to an organisation.
   *
   * @return empty if the request is within the rate; otherwise the time in nanoseconds after which
   *     the next one may be
   */
  Optional<Long> charge(OrganisationId id, long nowNanos) {
    Optional<Organisation> organisation =
        fleet
            .catalog()
            .map(Catalog::organisations)
            .map(organisations -> organisations.get(id))
            .filter(found -> found.ratePerSecond() > 0);
    if (organisation.isEmpty()) {
      return Optional.empty();
    }
    double rate = organisation.get().ratePerSecond();
    Grant grant = new Grant(rate, Math.max(1, organisation.get().burst()), 0);
    AdjustableTokenBucket bucket =
        buckets.computeIfAbsent(id, key -> new AdjustableTokenBucket(nowNanos));
    return bucket.tryAcquire(grant, fraction, nowNanos)
        ? Optional.empty()
        : Optional.of((long) (NANOS_PER_SECOND / rate));
  }
}
