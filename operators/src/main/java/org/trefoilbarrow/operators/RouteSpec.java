package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Describes a route.
 *
 * @param type whether the route leads to a model or to a plain service
 * @param target the model or service, by the name under which backend servers serve it
 * @param open whether callers need no key
 * @param idempotent whether a call may safely run more than once
 * @param organisations the organisations that may use the route; all when empty
 * @param timeoutMillis the longest time from admission to the first byte of the response, in
 *     milliseconds; 0 for the default of 30 s
 */
public record RouteSpec(
    RouteType type,
    String target,
    boolean open,
    boolean idempotent,
    List<String> organisations,
    long timeoutMillis)
    implements EntitySpec {
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

  /** Validates the components and copies mutable ones. */
  public RouteSpec {
    checkNotNull(type, "type");
    checkNotNull(target, "target");
    organisations =
        organisations == null ? ImmutableList.of() : ImmutableList.copyOf(organisations);
    timeoutMillis = timeoutMillis == 0 ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
    checkArgument(timeoutMillis > 0, "timeoutMillis must be positive: %s", timeoutMillis);
  }

  /** Returns a route to a model, for all organisations. */
  public static RouteSpec model(String target) {
    return new RouteSpec(
        RouteType.MODEL, target, false, true, ImmutableList.of(), DEFAULT_TIMEOUT_MILLIS);
  }

  /** Returns a route to a plain service, for all organisations. */
  public static RouteSpec service(String target, boolean idempotent) {
    return new RouteSpec(
        RouteType.SERVICE, target, false, idempotent, ImmutableList.of(), DEFAULT_TIMEOUT_MILLIS);
  }

  /** Returns this route, open to callers without a key. */
  public RouteSpec asOpen() {
    return new RouteSpec(type, target, true, idempotent, organisations, timeoutMillis);
  }

  @Override
  public EntityKind kind() {
    return EntityKind.ROUTE;
  }

  @Override
  public List<EntityReference> references() {
    return organisations.stream()
        .map(organisation -> new EntityReference(EntityKind.ORGANISATION, organisation))
        .toList();
  }
}
