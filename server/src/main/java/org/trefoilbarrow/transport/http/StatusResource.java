package org.trefoilbarrow.transport.http;

import static com.google.common.base.Preconditions.checkNotNull;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import java.util.function.Supplier;

/** {@code /admin/v1/status}: the status report of this host. */
@Path("/admin/v1/status")
@Produces(MediaType.APPLICATION_JSON)
@Singleton
public final class StatusResource {
  private final OperatorAuthenticator authenticator;
  private final Supplier<HostReport> report;

  /** Creates the resource. */
  @Inject
  public StatusResource(OperatorAuthenticator authenticator, Supplier<HostReport> report) {
    this.authenticator = checkNotNull(authenticator, "authenticator");
    this.report = checkNotNull(report, "report");
  }

  /** Returns the status report of this host. */
  @GET
  public HostReport get(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization) {
    authenticator.check(authorization);
    return report.get();
  }
}
