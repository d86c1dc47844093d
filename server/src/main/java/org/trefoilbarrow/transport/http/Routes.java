package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import jakarta.inject.Inject;
import java.util.Comparator;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.operators.RouteType;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.VersionedEntity;

/** Finds routes by the names that callers use. Thread-safe. */
public final class Routes {
  private final ConfigurationTable configuration;

  /** Creates a view of the configured routes. */
  @Inject
  public Routes(ConfigurationTable configuration) {
    this.configuration = checkNotNull(configuration, "configuration");
  }

  /**
   * Returns the route with the given name.
   *
   * @throws ServiceException if it does not exist or is of another type
   */
  RouteSpec find(String name, RouteType type) {
    return configuration
        .spec(EntityKind.ROUTE, name, RouteSpec.class)
        .filter(route -> route.type() == type)
        .orElseThrow(
            () ->
                new ServiceException(
                    ErrorKind.NOT_FOUND,
                    "%s \"%s\" does not exist",
                    type == RouteType.MODEL ? "model" : "service route",
                    name));
  }

  /** Returns the names of the models that the caller may use, sorted. */
  ImmutableList<String> models(Caller caller) {
    return configuration.list(EntityKind.ROUTE).stream()
        .map(VersionedEntity::entity)
        .filter(entity -> entity.spec() instanceof RouteSpec route && isOffered(route, caller))
        .map(entity -> entity.name())
        .sorted(Comparator.naturalOrder())
        .collect(ImmutableList.toImmutableList());
  }

  private static boolean isOffered(RouteSpec route, Caller caller) {
    return route.type() == RouteType.MODEL && CallerAdmission.isPermitted(caller, route);
  }
}
