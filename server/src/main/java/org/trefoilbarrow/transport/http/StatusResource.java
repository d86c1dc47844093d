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

/** {@code /admin/v1/status}: what this host reports of itself. */
@Path("/admin/v1/status")
@Produces(MediaType.APPLICATION_JSON)
@Singleton
public final class StatusResource {
  private final OperatorAuthenticator gate;
  private final Supplier<HostReport> report;

  /** Creates the resource. */
  @Inject
  public StatusResource(OperatorAuthenticator gate, Supplier<HostReport> report) {
    this.gate = checkNotNull(gate, "gate");
    this.report = checkNotNull(report, "report");
  }

  /** Returns the host's report. */
  @GET
  public HostReport get(@HeaderParam(HttpHeaders.AUTHORIZATION) String authorization) {
    gate.check(authorization);
    return report.get();
  }
}
