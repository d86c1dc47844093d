package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.membership.Rendezvous;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;

/**
 * Exchanges messages with other hosts, and with this host as one among them, and determines which
 * host owns a resource. Thread-safe.
 */
final class PeerExchange {
  private final HostStatus status;
  private final MembershipView membership;
  private final PeerDirectory directory;
  private final PeerServiceHandler ownHandler;
  private final BooleanSupplier isLeaving;
  private final LongSupplier nanoClock;

  /**
   * Creates an instance.
   *
   * @param status the status of this host that is sent to other hosts
   * @param ownHandler answers the messages of this host to itself
   */
  PeerExchange(
      HostStatus status,
      MembershipView membership,
      PeerDirectory directory,
      PeerServiceHandler ownHandler,
      BooleanSupplier isLeaving,
      LongSupplier nanoClock) {
    this.status = checkNotNull(status, "status");
    this.membership = checkNotNull(membership, "membership");
    this.directory = checkNotNull(directory, "directory");
    this.ownHandler = checkNotNull(ownHandler, "ownHandler");
    this.isLeaving = checkNotNull(isLeaving, "isLeaving");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  boolean isSelf(HostId host) {
    return host.equals(status.host());
  }

  HostStatus self() {
    return status;
  }

  /** Returns the hosts that may own resources now. */
  Set<HostId> ownerCandidates() {
    Set<HostId> candidates = new HashSet<>();
    for (HostStatus peer : membership.livePeers(nanoClock.getAsLong())) {
      candidates.add(peer.host());
    }
    if (!isLeaving.getAsBoolean() || candidates.isEmpty()) {
      candidates.add(status.host());
    }
    return candidates;
  }

  /** Returns the candidate that owns a resource. */
  HostId owner(String resource, Set<HostId> candidates) {
    return Rendezvous.owner(resource, candidates).orElse(status.host());
  }

  /** Returns a message without requests, which by itself is a heartbeat. */
  PeerRequestMessage newMessage() {
    return PeerMessages.newRequest(status, isLeaving.getAsBoolean());
  }

  /** Sends a message to a host; returns empty if it does not answer. */
  Optional<PeerAnswerMessage> exchange(HostId host, PeerRequestMessage message) {
    return isSelf(host)
        ? Optional.of(ownHandler.exchange(message))
        : directory.exchange(host, message);
  }
}
