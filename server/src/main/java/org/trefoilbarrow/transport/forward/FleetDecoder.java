package org.trefoilbarrow.transport.forward;

import java.util.Optional;
import org.trefoilbarrow.protocol.FailureDomainId;
import org.trefoilbarrow.state.fleet.BackendServer;
import org.trefoilbarrow.state.fleet.Catalog;

/**
 * Decodes the objects that operators and backend servers write to the platform. Each platform has
 * its own implementation. Implementations only translate, and are thread-safe.
 */
public interface FleetDecoder {

  /** Decodes a configuration object; empty if the object holds no configuration. */
  Optional<Catalog> decodeCatalog(String name, String value);

  /** Decodes the entry of a backend server; empty if the entry is not usable. */
  Optional<BackendServer> decodeBackendServer(String name, String value, long nowNanos);

  /** Decodes the failure domain that the entry with the given name drains. */
  FailureDomainId decodeDrainedDomain(String name);

  /** Returns the value by which a host reports that it can be removed: it has no work left. */
  String removalCompletedStatus();
}
