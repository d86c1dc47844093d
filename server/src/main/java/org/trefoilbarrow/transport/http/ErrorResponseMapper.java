package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.ws.rs.WebApplicationException;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.glassfish.jersey.server.ContainerRequest;
import org.trefoilbarrow.protocol.ErrorKind;
import org.trefoilbarrow.protocol.ErrorResponse;
import org.trefoilbarrow.protocol.RequestId;
import org.trefoilbarrow.protocol.ServiceException;

/** Turns every exception into the answer that the table of error kinds states. */
@jakarta.ws.rs.ext.Provider
public final class ErrorResponseMapper implements ExceptionMapper<Throwable> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int RETRY_AFTER_SECONDS = 1;

  /** The errors that pass by themselves, so that the answer says when to try again. */
  private static final ImmutableSet<ErrorKind> RETRY_LATER =
      Sets.immutableEnumSet(ErrorKind.OVER_RATE, ErrorKind.GRANT_UNAVAILABLE, ErrorKind.QUEUE_FULL);

  private static final int CLIENT_ERRORS = 400;
  private static final int SERVER_ERRORS = 500;

  private final Provider<ContainerRequest> request;

  /** Creates a mapper that names the current request. */
  @Inject
  public ErrorResponseMapper(Provider<ContainerRequest> request) {
    this.request = checkNotNull(request, "request");
  }

  @Override
  public Response toResponse(Throwable error) {
    RequestId requestId = RequestIdFilter.of(request.get());
    if (error instanceof ServiceException known) {
      return answer(known.kind(), known.getMessage(), requestId);
    }
    if (error instanceof WebApplicationException refused && isClientError(refused)) {
      return answer(kindOf(refused), refused.getMessage(), requestId);
    }
    if (error instanceof InterruptedException) {
      Thread.currentThread().interrupt();
      return answer(ErrorKind.INTERNAL, "the host is stopping", requestId);
    }
    logger
        .atSevere()
        .withCause(error)
        .with(LogFields.REQUEST, requestId.value())
        .log("http: request failed");
    return answer(ErrorKind.INTERNAL, "the request failed", requestId);
  }

  private static boolean isClientError(WebApplicationException refused) {
    int status = refused.getResponse().getStatus();
    return status >= CLIENT_ERRORS && status < SERVER_ERRORS;
  }

  private static ErrorKind kindOf(WebApplicationException refused) {
    int status = refused.getResponse().getStatus();
    boolean missing = status == Response.Status.NOT_FOUND.getStatusCode();
    return missing ? ErrorKind.NOT_FOUND : ErrorKind.INVALID_REQUEST;
  }

  private static Response answer(ErrorKind kind, String message, RequestId requestId) {
    Response.ResponseBuilder response =
        Response.status(kind.status())
            .type(MediaType.APPLICATION_JSON_TYPE)
            .entity(ErrorResponse.of(kind, message, requestId.value()));
    if (RETRY_LATER.contains(kind)) {
      response.header(HttpHeaders.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    return response.build();
  }
}
