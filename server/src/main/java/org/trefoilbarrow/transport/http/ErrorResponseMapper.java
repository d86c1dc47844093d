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

/** Maps every exception to the error response of its {@link ErrorKind}. */
@jakarta.ws.rs.ext.Provider
public final class ErrorResponseMapper implements ExceptionMapper<Throwable> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int RETRY_AFTER_SECONDS = 1;

  /** The temporary errors, whose response has a {@code Retry-After} header. */
  private static final ImmutableSet<ErrorKind> TEMPORARY_ERRORS =
      Sets.immutableEnumSet(ErrorKind.OVER_RATE, ErrorKind.GRANT_UNAVAILABLE, ErrorKind.QUEUE_FULL);

  private static final int MIN_CLIENT_ERROR_STATUS = 400;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final Provider<ContainerRequest> request;

  /** Creates a mapper that adds the identifier of the current request. */
  @Inject
  public ErrorResponseMapper(Provider<ContainerRequest> request) {
    this.request = checkNotNull(request, "request");
  }

  @Override
  public Response toResponse(Throwable error) {
    RequestId requestId = RequestIdFilter.of(request.get());
    if (error instanceof ServiceException serviceException) {
      return errorResponse(serviceException.kind(), serviceException.getMessage(), requestId);
    }
    if (error instanceof WebApplicationException webException && isClientError(webException)) {
      return errorResponse(kindOf(webException), webException.getMessage(), requestId);
    }
    if (error instanceof InterruptedException) {
      Thread.currentThread().interrupt();
      return errorResponse(ErrorKind.INTERNAL, "the host is stopping", requestId);
    }
    logger
        .atSevere()
        .withCause(error)
        .with(LogFields.REQUEST, requestId.value())
        .log("http: request failed with an unexpected exception; answered as internal error");
    return errorResponse(
        ErrorKind.INTERNAL, "the request failed with an internal error", requestId);
  }

  private static boolean isClientError(WebApplicationException webException) {
    int status = webException.getResponse().getStatus();
    return status >= MIN_CLIENT_ERROR_STATUS && status < MIN_SERVER_ERROR_STATUS;
  }

  private static ErrorKind kindOf(WebApplicationException webException) {
    int status = webException.getResponse().getStatus();
    boolean missing = status == Response.Status.NOT_FOUND.getStatusCode();
    return missing ? ErrorKind.NOT_FOUND : ErrorKind.INVALID_REQUEST;
  }

  private static Response errorResponse(ErrorKind kind, String message, RequestId requestId) {
    Response.ResponseBuilder response =
        Response.status(kind.status())
            .type(MediaType.APPLICATION_JSON_TYPE)
            .entity(ErrorResponse.of(kind, message, requestId.value()));
    if (TEMPORARY_ERRORS.contains(kind)) {
      response.header(HttpHeaders.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    return response.build();
  }
}
