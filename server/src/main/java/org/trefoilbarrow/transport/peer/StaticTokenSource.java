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
 * Gives each host an equal, fixed part of each grant, without messages.
 *
 * <p>The baseline that delegation is measured against: it holds the bound as long as there are
 * never more hosts than stated, and refuses wrongly whenever an organisation's callers are spread
 * unevenly or a host is missing. Thread-safe.
 */
public final class StaticTokenSource implements TokenSource {
  private final Grants grants;
  private final double part;
  private final LongSupplier nanoClock;
  private final Map<String, TokenBucket> buckets = new ConcurrentHashMap<>();

  /** Creates a source with the part of one among the given number of hosts. */
  public StaticTokenSource(ConfigurationTable configuration, int hosts, LongSupplier nanoClock) {
    checkArgument(hosts > 0, "hosts must be positive: %s", hosts);
    this.grants = new Grants(configuration);
    this.part = 1.0 / hosts;
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  @Override
  public AcquireResult acquire(OrganisationId organisation) {
    return tryTake(organisation) ? AcquireResult.ACQUIRED : AcquireResult.OVER_RATE;
  }

  @Override
  public boolean tryAcquireForBatch(OrganisationId organisation) {
    return tryTake(organisation);
  }

  private boolean tryTake(OrganisationId organisation) {
    String resource = Resources.ofOrganisation(organisation);
    Optional<Grant> grant = grants.of(resource);
    if (grant.isEmpty()) {
      return false;
    }
    long now = nanoClock.getAsLong();
    TokenBucket bucket = buckets.computeIfAbsent(resource, unused -> new TokenBucket(part, now));
    synchronized (bucket) {
      boolean taken = bucket.tryAcquire(grant.get(), now);
      if (taken) {
        TokenLog.taken(resource, now);
      }
      return taken;
    }
  }
}
