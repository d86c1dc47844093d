package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.token.Grant;
import org.trefoilbarrow.coordination.token.TokenBucket;
import org.trefoilbarrow.protocol.OrganisationId;
import org.trefoilbarrow.state.ConfigurationTable;

/**
 * A token source that gives each host an equal, fixed fraction of each grant, without messages
 * between hosts.
 *
 * <p>The baseline that delegation is measured against: it keeps to the rate limit as long as there
 * are never more hosts than stated, but refuses requests within the rate whenever an organisation's
 * callers are spread unevenly over the hosts or a host is missing. Thread-safe.
 */
public final class StaticTokenSource implements TokenSource {
  private final ConfiguredGrants grants;
  private final double fraction;
  private final LongSupplier nanoClock;
  private final Map<String, TokenBucket> buckets = new ConcurrentHashMap<>();

  /** Creates a source with the fraction of one among the given number of hosts. */
  public StaticTokenSource(ConfigurationTable configuration, int hosts, LongSupplier nanoClock) {
    checkArgument(hosts > 0, "hosts must be positive: %s", hosts);
    this.grants = new ConfiguredGrants(configuration);
    this.fraction = 1.0 / hosts;
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  @Override
  public AcquireResult acquire(OrganisationId organisation) {
    return tryAcquire(organisation) ? AcquireResult.ACQUIRED : AcquireResult.OVER_RATE;
  }

  @Override
  public boolean tryAcquireForBatch(OrganisationId organisation) {
    return tryAcquire(organisation);
  }

  private boolean tryAcquire(OrganisationId organisation) {
    String resource = ResourceNames.ofOrganisation(organisation);
    Optional<Grant> grant = grants.of(resource);
    if (grant.isEmpty()) {
      return false;
    }
    long nowNanos = nanoClock.getAsLong();
    TokenBucket bucket =
        buckets.computeIfAbsent(resource, unused -> new TokenBucket(fraction, nowNanos));
    synchronized (bucket) {
      boolean acquired = bucket.tryAcquire(grant.get(), nowNanos);
      if (acquired) {
        TokenLog.acquired(resource, nowNanos);
      }
      return acquired;
    }
  }
}
