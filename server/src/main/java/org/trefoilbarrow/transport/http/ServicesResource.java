package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.InputStream;
import org.jspecify.annotations.Nullable;
import org.trefoilbarrow.coordination.backend.WorkClass;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.operators.RouteType;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.settings.LimitsSettings;
import org.trefoilbarrow.transport.backend.FullResponse;
import org.trefoilbarrow.transport.backend.OnlineCall;
import org.trefoilbarrow.transport.backend.OnlineDispatcher;
import org.trefoilbarrow.transport.backend.RecordedCalls;

/** {@code /services/<route>/...}: forwards calls to services other than models. */
@Path("/services/{route}/{rest: .*}")
@Consumes(MediaType.WILDCARD)
@Singleton
public final class ServicesResource {
  private final CallerAdmission admission;
  private final Routes routes;
  private final OnlineDispatcher dispatcher;
  private final RecordedCalls recordedCalls;
  private final RunningCalls runningCalls;
  private final OrganisationMetrics metrics;
  private final LimitsSettings limits;

  /** Creates the resource. */
  @Inject
  public ServicesResource(
      CallerAdmission admission,
      Routes routes,
      OnlineDispatcher dispatcher,
      RecordedCalls recordedCalls,
      RunningCalls runningCalls,
      OrganisationMetrics metrics,
      LimitsSettings limits) {
    this.admission = checkNotNull(admission, "admission");
    this.routes = checkNotNull(routes, "routes");
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.recordedCalls = checkNotNull(recordedCalls, "recordedCalls");
    this.runningCalls = checkNotNull(runningCalls, "runningCalls");
    this.metrics = checkNotNull(metrics, "metrics");
    this.limits = checkNotNull(limits, "limits");
  }

  /** Forwards a GET request. */
  @GET
  public Response get(@Context ContainerRequestContext context) throws InterruptedException {
    return call(context, InputStream.nullInputStream());
  }

  /** Forwards a POST request. */
  @POST
  public Response post(@Context ContainerRequestContext context, InputStream body)
      throws InterruptedException {
    return call(context, body);
  }

  /** Forwards a PUT request. */
  @PUT
  public Response put(@Context ContainerRequestContext context, InputStream body)
      throws InterruptedException {
    return call(context, body);
  }

  /** Forwards a DELETE request. */
  @DELETE
  public Response delete(@Context ContainerRequestContext context) throws InterruptedException {
    return call(context, InputStream.nullInputStream());
  }

  private Response call(ContainerRequestContext context, InputStream body)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    String name = context.getUriInfo().getPathParameters().getFirst("route");
    String authorization = context.getHeaderString(HttpHeaders.AUTHORIZATION);
    RouteSpec route = admission.findRoute(routes, name, RouteType.SERVICE, authorization);
    Caller caller = admission.authenticate(authorization, route);
    byte[] bytes = RequestBodies.read(body, limits.maxBodyBytes());
    admission.acquireToken(caller);
    String contentType = context.getHeaderString(HttpHeaders.CONTENT_TYPE);
    OnlineCall call =
        OnlineCalls.of(context, caller, name, route, path(context), contentType, bytes, "");
    String idempotencyKey = context.getHeaderString("Idempotency-Key");
    try (RunningCalls.RunningCall running = runningCalls.register(caller.key())) {
      FullResponse response = send(call, idempotencyKey, running);
      metrics.of(caller.organisation()).onServed(WorkClass.ONLINE, System.nanoTime() - startNanos);
      return OnlineCalls.toResponse(response);
    } catch (ServiceException e) {
      metrics.of(caller.organisation()).onFailed();
      throw e;
    }
  }

  private FullResponse send(
      OnlineCall call, @Nullable String idempotencyKey, RunningCalls.RunningCall running)
      throws InterruptedException {
    boolean usesRecordedCalls = idempotencyKey != null && !call.request().idempotent();
    return usesRecordedCalls
        ? recordedCalls.call(call, idempotencyKey, running::onSending)
        : dispatcher.call(call, running::onSending);
  }

  /** Returns the path and query at the backend server. */
  private static String path(ContainerRequestContext context) {
    String rest = context.getUriInfo().getPathParameters().getFirst("rest");
    String query = context.getUriInfo().getRequestUri().getRawQuery();
    return "/" + rest + (query == null ? "" : "?" + query);
  }
}
