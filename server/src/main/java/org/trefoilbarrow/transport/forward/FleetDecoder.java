package org.trefoilbarrow.transport.forward;

import java.util.Optional;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Catalog;

/**
 * Reads what operators and backend servers write to the platform. Another platform is another
 * implementation. Implementations decide nothing and are thread-safe.
 */
public interface FleetDecoder {

  /** Returns the configuration that an object states; empty if it states none. */
  Optional<Catalog> decodeCatalog(String name, String value);

  /** Returns the backend server that an entry states; empty if the entry cannot be used. */
  Optional<BackendServer> decodeBackendServer(String name, String value, long nowNanos);

  /** Returns the failure domain that an operator's entry of the given name drains. */
  FailureDomainId decodeDrainedDomain(String name);

  /** Returns the value by which a host says that it holds nothing any more. */
  String removalCompletedStatus();
}
