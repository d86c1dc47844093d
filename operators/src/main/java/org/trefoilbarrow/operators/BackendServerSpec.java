package org.trefoilbarrow.operators;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Describes a backend server.
 *
 * @param address the base address, such as {@code http://127.0.0.1:9000}
 * @param failureDomain the server's failure domain
 * @param serves the route targets that the server serves
 * @param permits the maximum number of requests in progress when the server is warm
 * @param coldPermits the maximum number of requests in progress after a cold start; 0 for {@code
 *     permits}
 * @param leaving whether the server is leaving and receives no new work
 */
public record BackendServerSpec(
    String address,
    String failureDomain,
    List<String> serves,
    int permits,
    int coldPermits,
    boolean leaving)
    implements EntitySpec {
  /** Validates the components and copies mutable ones. */
  public BackendServerSpec {
    checkNotNull(address, "address");
    checkNotNull(failureDomain, "failureDomain");
    serves = ImmutableList.copyOf(checkNotNull(serves, "serves"));
    checkArgument(permits > 0, "permits must be positive: %s", permits);
    coldPermits = coldPermits == 0 ? permits : coldPermits;
    checkArgument(
        coldPermits > 0 && coldPermits <= permits,
        "coldPermits must be from 1 to permits (%s): %s",
        permits,
        coldPermits);
  }

  @Override
  public EntityKind kind() {
    return EntityKind.BACKEND_SERVER;
  }

  @Override
  public List<EntityReference> references() {
    return List.of(new EntityReference(EntityKind.FAILURE_DOMAIN, failureDomain));
  }
}
