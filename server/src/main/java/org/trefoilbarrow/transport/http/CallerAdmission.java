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
 * Authenticates callers and admits their requests within the rates of their organisations.
 *
 * <p>The key is checked on every request. Thread-safe.
 */
@Singleton
public final class CallerAdmission {
  private static final String BEARER_PREFIX = "Bearer ";

  /** The organisation of requests without a key, which are accepted on open routes only. */
  private static final OrganisationId ANONYMOUS = OrganisationId.of("anyone");

  private static final OrganisationSpec ANONYMOUS_SPEC = OrganisationSpec.of(1, 1);

  private final ConfigurationTable configuration;
  private final TokenSource tokens;
  private final OrganisationMetrics metrics;
  private final HostServingState servingState;

  /** Creates the admission of callers. */
  @Inject
  public CallerAdmission(
      ConfigurationTable configuration,
      TokenSource tokens,
      OrganisationMetrics metrics,
      HostServingState servingState) {
    this.configuration = checkNotNull(configuration, "configuration");
    this.tokens = checkNotNull(tokens, "tokens");
    this.metrics = checkNotNull(metrics, "metrics");
    this.servingState = checkNotNull(servingState, "servingState");
  }

  /**
   * Returns the caller with the given key.
   *
   * @throws ServiceException if the key is missing, unknown or withdrawn, or if the host does not
   *     serve callers
   */
  Caller authenticate(@Nullable String authorization) {
    servingState.checkServing();
    if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
      throw new ServiceException(
          ErrorKind.INVALID_KEY, "the request has no bearer key in its Authorization header");
    }
    KeyDigest digest =
        KeyDigest.of(Digests.digest(authorization.substring(BEARER_PREFIX.length()).trim()));
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
                        "organisation \"%s\" of the key does not exist",
                        key.organisation()));
    return new Caller(OrganisationId.of(key.organisation()), spec, Optional.of(digest));
  }

  /**
   * Returns the caller of a request on the given route; no key is needed if the route is open.
   *
   * @throws ServiceException if the caller may not use the route
   */
  Caller authenticate(@Nullable String authorization, RouteSpec route) {
    servingState.checkServing();
    if (route.open() && authorization == null) {
      return new Caller(ANONYMOUS, ANONYMOUS_SPEC, Optional.empty());
    }
    Caller caller = authenticate(authorization);
    checkPermitted(caller, route);
    return caller;
  }

  /**
   * Returns the route with the given name. A caller without a valid key receives the same error
   * whether or not the route exists.
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
   * Acquires a token of the caller's organisation. Callers without a key need none.
   *
   * @throws ServiceException if the organisation is over its rate, or no token was available in
   *     time
   */
  void acquireToken(Caller caller) throws InterruptedException {
    if (caller.key().isEmpty()) {
      return;
    }
    OrganisationMetrics.ForOrganisation organisationMetrics = metrics.of(caller.organisation());
    long startNanos = System.nanoTime();
    AcquireResult result = tokens.acquire(caller.organisation());
    organisationMetrics.onTokenWait(System.nanoTime() - startNanos);
    switch (result) {
      case ACQUIRED -> {}
      case OVER_RATE -> {
        organisationMetrics.onRefusedOverRate();
        throw new ServiceException(
            ErrorKind.OVER_RATE,
            "organisation \"%s\" is over its rate of %s requests per second",
            caller.organisation(),
            caller.spec().requestsPerSecond());
      }
      case UNAVAILABLE -> {
        organisationMetrics.onRefusedWithinRate();
        throw new ServiceException(
            ErrorKind.GRANT_UNAVAILABLE,
            "no token of the grant of organisation \"%s\" was available in time",
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
