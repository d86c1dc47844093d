package org.trefoilbarrow.state.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;

/**
 * A backend server as the platform lists it.
 *
 * @param id identifies this instance of the server
 * @param service the service that the server provides
 * @param address its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param version the version of its software; empty if unknown
 * @param bornMillis when this instance started, in milliseconds since the epoch; 0 if unknown
 * @param slots the number of requests that it processes concurrently
 * @param ready whether it accepts new requests
 * @param coldUntilNanos when it stops being cold, in nanoseconds of the host's monotonic clock
 */
public record BackendServer(
    BackendServerId id,
    String service,
    String address,
    int port,
    FailureDomainId domain,
    String version,
    long bornMillis,
    int slots,
    boolean ready,
    long coldUntilNanos) {

  /** Validates the components. */
  public BackendServer {
    checkNotNull(id, "id");
    checkNotNull(service, "service");
    checkNotNull(address, "address");
    checkNotNull(domain, "domain");
    checkNotNull(version, "version");
  }

  /** Creates a server whose version and start are unknown. */
  public BackendServer(
      BackendServerId id,
      String service,
      String address,
      int port,
      FailureDomainId domain,
      int slots,
      boolean ready,
      long coldUntilNanos) {
    this(id, service, address, port, domain, "", 0, slots, ready, coldUntilNanos);
  }
}
