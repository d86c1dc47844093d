package org.trefoilbarrow.state.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.trefoilbarrow.protocol.BackendServerId;
import org.trefoilbarrow.protocol.FailureDomainId;

/**
 * Caches the newest configuration, the listed backend servers and the drained failure domains. Not
 * thread-safe; used only by the event loop's thread.
 */
public final class FleetView {
  private Optional<Catalog> catalog = Optional.empty();
  private long catalogRevision;
  private OptionalLong catalogConfirmedNanos = OptionalLong.empty();
  private final Map<BackendServerId, BackendServer> backends = new LinkedHashMap<>();
  private Set<FailureDomainId> drainedDomains = ImmutableSet.of();
  private long changeCount;

  /** Returns the newest configuration, if one has been applied. */
  public Optional<Catalog> catalog() {
    return catalog;
  }

  /** Returns the revision of the newest configuration; 0 if none has been applied. */
  public long catalogRevision() {
    return catalogRevision;
  }

  /** Applies a configuration if its revision is newer; returns whether it was applied. */
  public boolean apply(Catalog newer, long revision) {
    checkNotNull(newer, "newer");
    if (revision <= catalogRevision) {
      return false;
    }
    catalogRevision = revision;
    catalog = Optional.of(newer);
    return true;
  }

  /**
   * Records that a read of the platform found no newer configuration than the cached one.
   *
   * @param sinceNanos when the read began
   */
  public void confirmCatalog(long sinceNanos) {
    catalogConfirmedNanos = OptionalLong.of(sinceNanos);
  }

  /**
   * Returns the latest time at which the cached configuration is known to have been the newest;
   * empty if it only follows what a watch reports.
   */
  public OptionalLong catalogConfirmedNanos() {
    return catalogConfirmedNanos;
  }

  /** Returns a number that grows with each change of backend servers or drained domains. */
  public long changeCount() {
    return changeCount;
  }

  /** Returns all listed backend servers. */
  public Collection<BackendServer> backends() {
    return backends.values();
  }

  /** Returns a backend server, if it is listed. */
  public Optional<BackendServer> backend(BackendServerId id) {
    return Optional.ofNullable(backends.get(id));
  }

  /** Adds or replaces a backend server. */
  public void put(BackendServer backend) {
    backends.put(backend.id(), backend);
    changeCount++;
  }

  /** Removes a backend server. */
  public void remove(BackendServerId id) {
    backends.remove(id);
    changeCount++;
  }

  /** Removes all backend servers that are not among the given ones. */
  public void retainOnly(Set<BackendServerId> ids) {
    backends.keySet().retainAll(ids);
    changeCount++;
  }

  /** Replaces the failure domains whose backend servers get no new requests. */
  public void setDrainedDomains(Set<FailureDomainId> domains) {
    drainedDomains = ImmutableSet.copyOf(domains);
    changeCount++;
  }

  /** Returns whether a backend server may get new requests. */
  public boolean isUsable(BackendServer backend) {
    return backend.ready() && !drainedDomains.contains(backend.domain());
  }
}
