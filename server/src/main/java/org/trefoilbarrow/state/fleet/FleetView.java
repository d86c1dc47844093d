package org.trefoilbarrow.state.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;

/**
 * The configuration, the backend servers and the drained failure domains that a host knows. Used by
 * the thread of the event loop alone.
 */
public final class FleetView {
  private Optional<Catalog> catalog = Optional.empty();
  private long catalogRevision;
  private final Map<BackendServerId, BackendServer> backends = new LinkedHashMap<>();
  private Set<FailureDomainId> drainedDomains = ImmutableSet.of();

  /** Returns the newest configuration, if one is known. */
  public Optional<Catalog> catalog() {
    return catalog;
  }

  /** Takes a configuration unless a newer one is known; returns whether it was taken. */
  public boolean apply(Catalog newer, long revision) {
    checkNotNull(newer, "newer");
    if (revision <= catalogRevision) {
      return false;
    }
    catalogRevision = revision;
    catalog = Optional.of(newer);
    return true;
  }

  /** Returns all listed backend servers. */
  public Collection<BackendServer> backends() {
    return backends.values();
  }

  /** Returns a listed backend server. */
  public Optional<BackendServer> backend(BackendServerId id) {
    return Optional.ofNullable(backends.get(id));
  }

  /** Adds or replaces a backend server. */
  public void put(BackendServer backend) {
    backends.put(backend.id(), backend);
  }

  /** Removes a backend server. */
  public void remove(BackendServerId id) {
    backends.remove(id);
  }

  /** Removes all backend servers that are not among the given ones. */
  public void retainOnly(Set<BackendServerId> ids) {
    backends.keySet().retainAll(ids);
  }

  /** Replaces the failure domains whose backend servers get no requests. */
  public void setDrainedDomains(Set<FailureDomainId> domains) {
    drainedDomains = ImmutableSet.copyOf(domains);
  }

  /** Returns whether a backend server may get new requests. */
  public boolean isUsable(BackendServer backend) {
    return backend.ready() && !drainedDomains.contains(backend.domain());
  }
}
