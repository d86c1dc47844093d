package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.transport.peer.generated.HostMessage;

/**
 * Joins a fleet through its seed hosts while the platform, which lists the hosts, does not answer.
 *
 * <p>A host that starts during an outage gets the other hosts from any seed. It needs peers for the
 * configuration, for tokens, and because a host without peers serves no requests. Used by one
 * thread.
 */
public final class SeedJoiner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerDirectory directory;
  private final MembershipView membership;
  private final HostStatus self;
  private final ImmutableList<String> seeds;
  private final LongSupplier nanoClock;

  /**
   * Creates a joiner.
   *
   * @param self the status that is sent to the seeds
   * @param seeds peer addresses, as {@code IP:port}
   */
  public SeedJoiner(
      PeerDirectory directory,
      MembershipView membership,
      HostStatus self,
      List<String> seeds,
      LongSupplier nanoClock) {
    this.directory = checkNotNull(directory, "directory");
    this.membership = checkNotNull(membership, "membership");
    this.self = checkNotNull(self, "self");
    this.seeds = ImmutableList.copyOf(seeds);
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Announces this host to the seeds if no live peer is known. */
  public void joinIfNoLivePeers() {
    if (!membership.livePeers(nanoClock.getAsLong()).isEmpty()) {
      return;
    }
    for (String seed : seeds) {
      join(seed);
    }
  }

  private void join(String seed) {
    Optional<List<HostMessage>> known = directory.greet(seed, HostMessages.of(self));
    if (known.isEmpty()) {
      return;
    }
    for (HostMessage host : known.get()) {
      membership.onStatus(HostMessages.toStatus(host), nanoClock.getAsLong());
    }
    logger.atInfo().log("membership: seed %s reported %s hosts", seed, known.get().size());
  }
}
