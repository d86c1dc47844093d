package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.token.DelegationAnswer;
import org.trefoilbarrow.coordination.token.Grant;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.transport.peer.generated.DelegationGrantMessage;
import org.trefoilbarrow.transport.peer.generated.DelegationRequestMessage;
import org.trefoilbarrow.transport.peer.generated.DelegationReturnMessage;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;

/**
 * Requests delegations for the pools of this host from the holders of shares, and returns the
 * shares of evicted pools. Thread-safe.
 */
final class DelegationRequester {
  private final TokenPools pools;
  private final MembershipView membership;
  private final PeerExchange peers;
  private final Executor senders;
  private final LongSupplier nanoClock;

  /**
   * Creates a requester.
   *
   * @param senders runs the exchanges with other hosts
   */
  DelegationRequester(
      TokenPools pools,
      MembershipView membership,
      PeerExchange peers,
      Executor senders,
      LongSupplier nanoClock) {
    this.pools = checkNotNull(pools, "pools");
    this.membership = checkNotNull(membership, "membership");
    this.peers = checkNotNull(peers, "peers");
    this.senders = checkNotNull(senders, "senders");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  /** Sends a message to each host, which without requests is a heartbeat. */
  void requestDelegations() {
    long nowNanos = nanoClock.getAsLong();
    Set<HostId> candidates = peers.ownerCandidates();
    TokenPools.Activity activity =
        pools.activity(resource -> peers.isSelf(peers.owner(resource, candidates)), nowNanos);
    HostStatus self = peers.self();
    exchangeDelegations(self.host(), self.incarnation(), activity);
    for (HostStatus peer : membership.peers(nowNanos)) {
      senders.execute(() -> exchangeDelegations(peer.host(), peer.incarnation(), activity));
    }
  }

  private void exchangeDelegations(
      HostId holder, long holderIncarnation, TokenPools.Activity activity) {
    PeerRequestMessage message = peers.newMessage();
    List<String> resources = activity.active();
    addReturns(message, holder + "#" + holderIncarnation, activity);
    if (message.isSetReturns()) {
      // A later incarnation of the holder may reuse the same delegation identifiers.
      message.setReceiverIncarnation(holderIncarnation);
    }
    resources.forEach(resource -> message.addToDelegations(new DelegationRequestMessage(resource)));
    long sentAtNanos = nanoClock.getAsLong();
    Optional<PeerAnswerMessage> answer = peers.exchange(holder, message);
    if (answer.isEmpty()) {
      return;
    }
    for (DelegationGrantMessage grant : answer.get().getDelegations()) {
      DelegationAnswer delegation =
          new DelegationAnswer(
              grant.getDelegationId(),
              new HashSet<>(grant.getShares()),
              grant.getTokens(),
              grant.getValidNanos(),
              grantOf(grant));
      String holderId = holder + "#" + answer.get().getIncarnation();
      pools.onDelegation(
          grant.getResource(), holderId, delegation, sentAtNanos, nanoClock.getAsLong());
    }
  }

  private static Optional<Grant> grantOf(DelegationGrantMessage message) {
    if (!message.isSetGrantVersion()) {
      return Optional.empty();
    }
    return Optional.of(
        new Grant(message.getTokensPerSecond(), message.getBurst(), message.getGrantVersion()));
  }

  private static void addReturns(
      PeerRequestMessage message, String holderId, TokenPools.Activity activity) {
    activity
        .returnedByResource()
        .forEach(
            (resource, returned) ->
                returned.stream()
                    .filter(shares -> shares.holder().equals(holderId))
                    .forEach(
                        shares ->
                            message.addToReturns(
                                new DelegationReturnMessage(
                                    resource, shares.delegationId(), shares.tokens()))));
  }
}
