package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.operators.EntityKind;
import org.trefoilbarrow.operators.KeySpec;
import org.trefoilbarrow.operators.OrganisationSpec;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.operators.RouteType;
import org.trefoilbarrow.protocol.Digests;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.KeyDigest;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.transport.peer.AcquireResult;
import org.trefoilbarrow.transport.peer.TokenSource;

/**
 * Decides who calls and whether the call may run now. Keys are compared on each request.
 * Thread-safe.
 */
@Singleton
public final class CallerAdmission {
  private static final String BEARER = "Bearer ";

  /** The organisation under which requests without a key run on open routes. */
  private static final OrganisationId ANYONE = OrganisationId.of("anyone");

  private static final OrganisationSpec ANYONE_SPEC = OrganisationSpec.of(1, 1);

  private final ConfigurationTable configuration;
  private final TokenSource tokens;
  private final OrganisationMetrics metrics;
  private final HostServingState condition;

  /** Creates a gate on the given tables. */
  @Inject
  public CallerAdmission(
      ConfigurationTable configuration,
      TokenSource tokens,
      OrganisationMetrics metrics,
      HostServingState condition) {
    this.configuration = checkNotNull(configuration, "configuration");
    this.tokens = checkNotNull(tokens, "tokens");
    this.metrics = checkNotNull(metrics, "metrics");
    this.condition = checkNotNull(condition, "condition");
  }

  /**
   * Returns who makes a request on a route that is not open.
   *
   * @throws ServiceException if the key is missing, unknown or withdrawn, or the host is cut off
   */
  Caller authenticate(@Nullable String authorization) {
    condition.checkServing();
    if (authorization == null || !authorization.startsWith(BEARER)) {
      throw new ServiceException(ErrorKind.INVALID_KEY, "the request carries no bearer key");
    }
    KeyDigest digest =
        KeyDigest.of(Digests.digest(authorization.substring(BEARER.length()).trim()));
    KeySpec key =
        configuration
            .validKey(digest)
            .orElseThrow(
                () ->
                    new ServiceException(
                        ErrorKind.INVALID_KEY, "the key is unknown or was withdrawn"));
    OrganisationSpec spec =
        configuration
            .spec(EntityKind.ORGANISATION, key.organisation(), OrganisationSpec.class)
            .orElseThrow(
                () ->
                    new ServiceException(
                        ErrorKind.INVALID_KEY,
                        "organisation \"%s\" does not exist",
                        key.organisation()));
    return new Caller(OrganisationId.of(key.organisation()), spec, Optional.of(digest));
  }

  /**
   * Returns who makes a request on the given route.
   *
   * @throws ServiceException if the caller may not use the route
   */
  Caller authenticate(@Nullable String authorization, RouteSpec route) {
    condition.checkServing();
    if (route.open() && authorization == null) {
      return new Caller(ANYONE, ANYONE_SPEC, Optional.empty());
    }
    Caller caller = authenticate(authorization);
    checkPermitted(caller, route);
    return caller;
  }

  /**
   * Returns the route with the given name. A caller without a valid key does not learn whether it
   * exists.
   *
   * @throws ServiceException if it does not exist or is of another type
   */
  RouteSpec findRoute(Routes routes, String name, RouteType type, @Nullable String authorization) {
    try {
      return routes.find(name, type);
    } catch (ServiceException e) {
      authenticate(authorization);
      throw e;
    }
  }

  /** Returns whether the caller's organisation may use the route. */
  static boolean isPermitted(Caller caller, RouteSpec route) {
    return route.organisations().isEmpty()
        || route.organisations().contains(caller.organisation().value());
  }

  /**
   * Takes a token of the caller's organisation.
   *
   * @throws ServiceException if the organisation is over its rate, or no token can be had in time
   */
  void takeToken(Caller caller) throws InterruptedException {
    if (caller.key().isEmpty()) {
      return;
    }
    OrganisationMetrics.ForOrganisation counts = metrics.of(caller.organisation());
    long start = System.nanoTime();
    AcquireResult decision = tokens.acquire(caller.organisation());
    counts.onTokenWait(System.nanoTime() - start);
    switch (decision) {
      case ACQUIRED -> {}
      case OVER_RATE -> {
        counts.onRefusedOverRate();
        throw new ServiceException(
            ErrorKind.OVER_RATE,
            "organisation \"%s\" is over its rate of %s requests per second",
            caller.organisation(),
            caller.spec().requestsPerSecond());
      }
      case UNAVAILABLE -> {
        counts.onRefusedWithinRate();
        throw new ServiceException(
            ErrorKind.GRANT_UNAVAILABLE,
            "no part of the grant of organisation \"%s\" could be had in time",
            caller.organisation());
      }
    }
  }

  private static void checkPermitted(Caller caller, RouteSpec route) {
    if (!isPermitted(caller, route)) {
      throw new ServiceException(
          ErrorKind.NOT_PERMITTED,
          "organisation \"%s\" may not use this route",
          caller.organisation());
    }
  }
}
