package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.trefoilbarrow.coordination.backend.WorkClass;
import org.trefoilbarrow.operators.RouteSpec;
import org.trefoilbarrow.operators.RouteType;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ServiceException;
import org.trefoilbarrow.settings.LimitsSettings;
import org.trefoilbarrow.transport.backend.FullResponse;
import org.trefoilbarrow.transport.backend.OnlineCall;
import org.trefoilbarrow.transport.backend.OnlineDispatcher;
import org.trefoilbarrow.transport.backend.OpenResponse;

/** {@code /v1/chat/completions}, streamed or not, in the format of the OpenAI API. */
@Path("/v1/chat/completions")
@Singleton
public final class ChatResource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String PATH = "/v1/chat/completions";

  /**
   * The length of the prompt prefix that determines the preferred backend server, in characters.
   */
  private static final int AFFINITY_PREFIX_CHARS = 256;

  private final CallerAdmission admission;
  private final Routes routes;
  private final OnlineDispatcher dispatcher;
  private final RunningCalls runningCalls;
  private final OrganisationMetrics metrics;
  private final LimitsSettings limits;

  /** Creates the resource. */
  @Inject
  public ChatResource(
      CallerAdmission admission,
      Routes routes,
      OnlineDispatcher dispatcher,
      RunningCalls runningCalls,
      OrganisationMetrics metrics,
      LimitsSettings limits) {
    this.admission = checkNotNull(admission, "admission");
    this.routes = checkNotNull(routes, "routes");
    this.dispatcher = checkNotNull(dispatcher, "dispatcher");
    this.runningCalls = checkNotNull(runningCalls, "runningCalls");
    this.metrics = checkNotNull(metrics, "metrics");
    this.limits = checkNotNull(limits, "limits");
  }

  /** Forwards a chat request to a backend server and returns its response. */
  @POST
  @Consumes(MediaType.WILDCARD)
  public Response complete(
      @Context ContainerRequestContext context,
      @HeaderParam(HttpHeaders.AUTHORIZATION) String authorization,
      InputStream body)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    if (authorization != null) {
      // A request with an unknown key is rejected before its body is read.
      admission.authenticate(authorization);
    }
    byte[] bytes = RequestBodies.read(body, limits.maxBodyBytes());
    ObjectNode request = RequestBodies.parseObject(bytes);
    String model = request.path("model").asText("");
    RouteSpec route = admission.findRoute(routes, model, RouteType.MODEL, authorization);
    Caller caller = admission.authenticate(authorization, route);
    admission.acquireToken(caller);
    OnlineCall call =
        OnlineCalls.of(
            context,
            caller,
            model,
            route,
            PATH,
            MediaType.APPLICATION_JSON,
            withTarget(model, route, request, bytes),
            affinity(request));
    boolean streamed = request.path("stream").asBoolean(false);
    try {
      return streamed
          ? stream(call, caller, startNanos)
          : completeResponse(call, caller, startNanos);
    } catch (ServiceException e) {
      metrics.of(caller.organisation()).onFailed();
      logger
          .atInfo()
          .with(LogFields.REQUEST, call.request().requestId().value())
          .with(LogFields.ORGANISATION, caller.organisation().value())
          .with(LogFields.ROUTE, model)
          .log("online: request failed: %s", e.getMessage());
      throw e;
    }
  }

  /** Returns the body with the name under which backend servers know the model. */
  private static byte[] withTarget(
      String model, RouteSpec route, ObjectNode request, byte[] bytes) {
    if (route.target().equals(model)) {
      return bytes;
    }
    return request.put("model", route.target()).toString().getBytes(StandardCharsets.UTF_8);
  }

  private static String affinity(ObjectNode request) {
    JsonNode first = request.path("messages").path(0).path("content");
    String text = first.asText("");
    return text.substring(0, Math.min(text.length(), AFFINITY_PREFIX_CHARS));
  }

  private Response completeResponse(OnlineCall call, Caller caller, long startNanos)
      throws InterruptedException {
    try (RunningCalls.RunningCall running = runningCalls.register(caller.key())) {
      FullResponse response;
      try {
        response = dispatcher.call(call, running::onSending);
      } catch (ServiceException e) {
        throw abortedOr(running, e);
      }
      long elapsedNanos = System.nanoTime() - startNanos;
      metrics.of(caller.organisation()).onFirstByte(elapsedNanos);
      metrics.of(caller.organisation()).onServed(WorkClass.ONLINE, elapsedNanos);
      return OnlineCalls.toResponse(response);
    }
  }

  private Response stream(OnlineCall call, Caller caller, long startNanos)
      throws InterruptedException {
    RunningCalls.RunningCall running = runningCalls.register(caller.key());
    boolean handedOver = false;
    OpenResponse response = null;
    try {
      response = dispatcher.open(call, running::onSending);
      InputStream body = response.body();
      byte[] first = StreamRelay.readFirst(body);
      running.onProgress();
      metrics.of(caller.organisation()).onFirstByte(System.nanoTime() - startNanos);
      StreamRelay relay =
          new StreamRelay(
              response,
              body,
              first,
              running,
              metrics.of(caller.organisation()),
              call.request().requestId(),
              startNanos);
      handedOver = true;
      return Response.status(response.status()).type(response.contentType()).entity(relay).build();
    } catch (ServiceException e) {
      throw abortedOr(running, e);
    } catch (IOException e) {
      response.fail();
      ErrorKind kind = running.abortReason().orElse(ErrorKind.BACKEND_FAILED);
      throw new ServiceException(kind, e, "the response ended before its first token");
    } finally {
      if (!handedOver) {
        running.close();
        if (response != null) {
          response.close();
        }
      }
    }
  }

  private static ServiceException abortedOr(
      RunningCalls.RunningCall running, ServiceException error) {
    return running
        .abortReason()
        .map(kind -> new ServiceException(kind, error, "the call was aborted: " + kind.code()))
        .orElse(error);
  }
}
