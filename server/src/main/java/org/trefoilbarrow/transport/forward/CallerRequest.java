package org.trefoilbarrow.transport.forward;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.Set;
import org.trefoilbarrow.coordination.dispatch.WorkProfile;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Organisation;
import org.trefoilbarrow.state.fleet.Route;
import org.trefoilbarrow.transport.link.DemandSpec;

/**
 * What a caller asked for.
 *
 * @param request the request as received, which {@link ForwardedCall} releases at its end
 * @param attributes what the request states of itself
 * @param route the route that the request takes
 * @param organisation the organisation of the caller, if the request has a key
 */
record CallerRequest(
    FullHttpRequest request,
    RequestAttributes attributes,
    Route route,
    Optional<Organisation> organisation) {
  /** The fraction of the route's target time within which a request must be placed. */
  private static final double PLACEMENT_FRACTION = 0.75;

  private static final int RANKS_PER_PRIORITY = 1000;
  private static final long NANOS_IN_MILLI = 1_000_000;

  CallerRequest {
    checkNotNull(request, "request");
    checkNotNull(attributes, "attributes");
    checkNotNull(route, "route");
    checkNotNull(organisation, "organisation");
  }

  /**
   * Returns the demand for a slot.
   *
   * @param domain the failure domain of this host
   * @param charged the organisation whose rate the request counts toward, if it does
   * @param startNanos when the request arrived
   * @param deadlineNanos when its time ends
   * @param repeated whether the request was sent or placed before
   * @param excluded the backend servers at which no slot is wanted
   */
  DemandSpec demand(
      FailureDomainId domain,
      Optional<Organisation> charged,
      long startNanos,
      long deadlineNanos,
      boolean repeated,
      Set<BackendServerId> excluded) {
    int rank =
        organisation.map(Organisation::priority).orElse(0) * RANKS_PER_PRIORITY + route.priority();
    long objective =
        startNanos + (long) (route.latencyTargetMillis() * PLACEMENT_FRACTION * NANOS_IN_MILLI);
    WorkProfile profile =
        new WorkProfile(
                route.name(),
                Optional.of(domain),
                attributes.size(),
                0,
                attributes.promptPartTokens())
            .withCaller(organisation.map(Organisation::id));
    return new DemandSpec(
        route.selectService(attributes.requestId().hashCode()),
        charged.map(Organisation::id),
        rank,
        false,
        objective,
        deadlineNanos,
        repeated,
        excluded,
        attributes.requestId(),
        attributes.promptParts(),
        profile);
  }

  /**
   * Returns the request to send to a backend server. It shares the body, which is released when
   * both requests are.
   *
   * @param remainingMillis for how long the caller waits
   * @param lastEventId the identifier of the last event of the stream that the caller has
   */
  FullHttpRequest toBackend(
      HttpDialect dialect,
      BackendServer backend,
      long remainingMillis,
      Optional<String> lastEventId) {
    HttpHeaders headers =
        dialect.backendRequestHeaders(
            HopByHopHeaders.removeFrom(request.headers()),
            backend,
            organisation.map(Organisation::id),
            remainingMillis,
            lastEventId);
    if (request.content().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        request.method(),
        request.uri(),
        request.content().retainedDuplicate(),
        headers,
        EmptyHttpHeaders.INSTANCE);
  }
}
