package org.trefoilbarrow.state.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilbarrow.protocol.OrganisationId;

/**
 * One version of the operators' configuration. Immutable.
 *
 * @param version the version that the operators gave it
 * @param routes all routes
 * @param services the services by name
 * @param organisations the organisations by identifier
 * @param keys the organisation of each key
 * @param limits the limits on callers' requests
 */
public record Catalog(
    long version,
    List<Route> routes,
    Map<String, Service> services,
    Map<OrganisationId, Organisation> organisations,
    Map<String, OrganisationId> keys,
    CallerLimits limits) {

  /** Validates the components and copies mutable ones. */
  public Catalog {
    routes =
        ImmutableList.sortedCopyOf(
            Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed(),
            routes);
    services = ImmutableMap.copyOf(services);
    organisations = ImmutableMap.copyOf(organisations);
    keys = ImmutableMap.copyOf(keys);
    checkNotNull(limits, "limits");
  }

  /** Returns the route of a host name whose prefix is the longest match for the path. */
  public Optional<Route> route(String hostName, String path) {
    return routes.stream().filter(route -> route.matches(hostName, path)).findFirst();
  }

  /**
   * Returns the batch route of a host name whose prefix is the longest match for the path. A route
   * of another kind with a longer prefix does not hide it, since it gets requests, not jobs.
   */
  public Optional<Route> batchRoute(String hostName, String path) {
    return routes.stream()
        .filter(route -> route.requestKind() == Route.RequestKind.BATCH)
        .filter(route -> route.matches(hostName, path))
        .findFirst();
  }

  /** Returns the organisation to which a key belongs. */
  public Optional<Organisation> findOrganisation(String key) {
    return Optional.ofNullable(keys.get(key)).map(organisations::get);
  }
}
