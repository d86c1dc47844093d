package org.trefoilbarrow.state.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;

/**
 * A backend server as the platform lists it.
 *
 * @param id the identifier of this life of the server
 * @param service the service that it belongs to
 * @param address its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param slots the requests that it works on at once
 * @param ready whether it takes new requests
 * @param coldUntilNanos when it is no longer cold, by the host's monotonic clock
 */
public record BackendServer(
    BackendServerId id,
    String service,
    String address,
    int port,
    FailureDomainId domain,
    int slots,
    boolean ready,
    long coldUntilNanos) {

  /** Checks the components. */
  public BackendServer {
    checkNotNull(id, "id");
    checkNotNull(service, "service");
    checkNotNull(address, "address");
    checkNotNull(domain, "domain");
  }
}
