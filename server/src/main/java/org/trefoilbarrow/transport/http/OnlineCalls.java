package org.trefoilbarrow.transport.http;

import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.core.Response;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.transport.backend.BackendRequest;
import org.trefoilbarrow.transport.backend.FullResponse;
import org.trefoilbarrow.transport.backend.OnlineCall;

/** Converts callers' requests to online calls, and the responses of backend servers back. */
final class OnlineCalls {
  private OnlineCalls() {}

  /**
   * Returns the call that forwards an admitted request.
   *
   * @param routeName the name of the route
   * @param path the path and query at the backend server, beginning with a slash
   * @param contentType the content type, or null if there is no body
   * @param affinity calls with the same value prefer the same backend server
   */
  static OnlineCall of(
      ContainerRequestContext context,
      Caller caller,
      String routeName,
      RouteSpec route,
      String path,
      @Nullable String contentType,
      byte[] body,
      String affinity) {
    BackendRequest request =
        BackendRequest.of(
            RequestIdFilter.of(context),
            context.getMethod(),
            path,
            contentType,
            body,
            route.idempotent(),
            Duration.ofMillis(route.timeoutMillis()));
    return new OnlineCall(
        routeName,
        route,
        request,
        caller.organisation(),
        caller.spec().weight(),
        caller.spec().maxQueuedRequests(),
        affinity);
  }

  /** Returns the response to the caller. */
  static Response toResponse(FullResponse response) {
    return Response.status(response.status())
        .type(response.contentType())
        .entity(response.body())
        .build();
  }
}
