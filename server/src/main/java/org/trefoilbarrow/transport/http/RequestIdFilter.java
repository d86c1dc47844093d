package org.trefoilbarrow.transport.http;

import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerRequestFilter;
import jakarta.ws.rs.container.ContainerResponseContext;
import jakarta.ws.rs.container.ContainerResponseFilter;
import jakarta.ws.rs.container.PreMatching;
import jakarta.ws.rs.ext.Provider;
import java.util.concurrent.ThreadLocalRandom;
import org.trefoilbarrow.protocol.RequestId;

/** Assigns an identifier to each request and returns it in a header of the response. */
@Provider
@PreMatching
public final class RequestIdFilter implements ContainerRequestFilter, ContainerResponseFilter {
  static final String HEADER = "X-Request-Id";
  private static final String PROPERTY = "trefoilbarrow.request-id";

  /** Returns the identifier of the given request, or "none" if it has none. */
  static RequestId of(ContainerRequestContext request) {
    Object id = request.getProperty(PROPERTY);
    return id == null ? RequestId.of("none") : (RequestId) id;
  }

  @Override
  public void filter(ContainerRequestContext request) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    String id = String.format("req-%016x%08x", random.nextLong(), random.nextInt());
    request.setProperty(PROPERTY, RequestId.of(id));
  }

  @Override
  public void filter(ContainerRequestContext request, ContainerResponseContext response) {
    response.getHeaders().putSingle(HEADER, of(request).value());
  }
}
