package org.trefoilbarrow.transport.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.trefoilbarrow.coordination.membership.MembershipView;
import org.trefoilbarrow.coordination.share.ShareLeases;
import org.trefoilbarrow.coordination.token.DelegationAnswer;
import org.trefoilbarrow.coordination.token.Grant;
import org.trefoilbarrow.coordination.token.LoanAnswer;
import org.trefoilbarrow.coordination.token.ShareDelegations;
import org.trefoilbarrow.protocol.HostId;
import org.trefoilbarrow.protocol.HostStatus;
import org.trefoilbarrow.state.ConfigurationTable;
import org.trefoilbarrow.state.ObjectChange;
import org.trefoilbarrow.transport.peer.generated.ConfigurationObjectMessage;
import org.trefoilbarrow.transport.peer.generated.ConfigurationPageMessage;
import org.trefoilbarrow.transport.peer.generated.DelegationGrantMessage;
import org.trefoilbarrow.transport.peer.generated.DelegationRequestMessage;
import org.trefoilbarrow.transport.peer.generated.DelegationReturnMessage;
import org.trefoilbarrow.transport.peer.generated.HostMessage;
import org.trefoilbarrow.transport.peer.generated.LoanGrantMessage;
import org.trefoilbarrow.transport.peer.generated.LoanRequestMessage;
import org.trefoilbarrow.transport.peer.generated.PeerAnswerMessage;
import org.trefoilbarrow.transport.peer.generated.PeerRequestMessage;
import org.trefoilbarrow.transport.peer.generated.PeerService;
import org.trefoilbarrow.transport.peer.generated.SettlementMessage;

/** Answers the messages of other hosts, and those that this host sends to itself. Thread-safe. */
public final class PeerServiceHandler implements PeerService.Iface {
  /** The version of the message format. */
  static final int MESSAGE_VERSION = 1;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_PAGE_OBJECTS = 2000;

  private final HostStatus status;
  private final ConfigurationTable configuration;
  private final MembershipView membership;
  private final ShareLeases shares;
  private final ShareDelegations delegations;
  private final TokenPools pools;
  private final ConfiguredGrants grants;
  private final PermitLoanHandler permits;
  private final BooleanSupplier isLeaving;
  private final LongSupplier nanoClock;

  PeerServiceHandler(
      HostStatus status,
      ConfigurationTable configuration,
      MembershipView membership,
      ShareLeases shares,
      ShareDelegations delegations,
      TokenPools pools,
      ConfiguredGrants grants,
      PermitLoanHandler permits,
      BooleanSupplier isLeaving,
      LongSupplier nanoClock) {
    this.status = checkNotNull(status, "status");
    this.configuration = checkNotNull(configuration, "configuration");
    this.membership = checkNotNull(membership, "membership");
    this.shares = checkNotNull(shares, "shares");
    this.delegations = checkNotNull(delegations, "delegations");
    this.pools = checkNotNull(pools, "pools");
    this.grants = checkNotNull(grants, "grants");
    this.permits = checkNotNull(permits, "permits");
    this.isLeaving = checkNotNull(isLeaving, "isLeaving");
    this.nanoClock = checkNotNull(nanoClock, "nanoClock");
  }

  @Override
  public PeerAnswerMessage exchange(PeerRequestMessage request) {
    PeerAnswerMessage answer =
        new PeerAnswerMessage(
            MESSAGE_VERSION,
            status.host().value(),
            status.incarnation(),
            isLeaving.getAsBoolean(),
            new ArrayList<>(),
            new ArrayList<>(),
            configuration.revision());
    if (request.getVersion() != MESSAGE_VERSION) {
      logger.atWarning().log(
          "peer: ignored requests of %s: message version %s, expected %s",
          request.getSender(), request.getVersion(), MESSAGE_VERSION);
      return answer;
    }
    boolean isForThisIncarnation =
        !request.isSetReceiverIncarnation()
            || request.getReceiverIncarnation() == status.incarnation();
    if (!isForThisIncarnation) {
      return answer;
    }
    long nowNanos = nanoClock.getAsLong();
    HostId sender = HostId.of(request.getSender());
    membership.onMessageReceived(sender, request.getIncarnation(), request.isLeaving(), nowNanos);
    request.getSettlements().forEach(this::settle);
    request.getLoans().forEach(loan -> answer.addToLoans(lend(loan)));
    String owner = request.getSender() + "#" + request.getIncarnation();
    if (request.isSetReturns()) {
      request.getReturns().forEach(returned -> acceptReturn(returned, owner));
    }
    permits.answer(request, answer, nowNanos);
    for (DelegationRequestMessage delegation : request.getDelegations()) {
      answer.addToDelegations(delegate(delegation, owner));
    }
    return answer;
  }

  @Override
  public ConfigurationPageMessage pullConfiguration(long afterVersion, int limit) {
    List<ObjectChange> newer =
        configuration.changesAfter(afterVersion).stream()
            .sorted(Comparator.comparingLong(ObjectChange::version))
            .toList();
    int end = Math.min(newer.size(), Math.min(limit, MAX_PAGE_OBJECTS));
    List<ConfigurationObjectMessage> objects = new ArrayList<>();
    for (ObjectChange change : newer.subList(0, end)) {
      ConfigurationObjectMessage object =
          new ConfigurationObjectMessage(change.name(), change.version());
      change.value().ifPresent(object::setValue);
      objects.add(object);
    }
    return new ConfigurationPageMessage(configuration.revision(), objects, end == newer.size());
  }

  @Override
  public List<HostMessage> greet(HostMessage newcomer) {
    long nowNanos = nanoClock.getAsLong();
    List<HostMessage> known = new ArrayList<>();
    known.add(HostMessages.of(status));
    membership.livePeers(nowNanos).forEach(peer -> known.add(HostMessages.of(peer)));
    membership.onStatus(HostMessages.toStatus(newcomer), nowNanos);
    return known;
  }

  private void settle(SettlementMessage settlement) {
    pools.settle(
        settlement.getResource(),
        settlement.getLoanId(),
        settlement.getUnspent(),
        nanoClock.getAsLong());
  }

  private void acceptReturn(DelegationReturnMessage returned, String owner) {
    grants
        .of(returned.getResource())
        .ifPresent(
            grant ->
                delegations.onSharesReturned(
                    returned.getResource(),
                    owner,
                    returned.getDelegationId(),
                    returned.getTokens(),
                    grant,
                    nanoClock.getAsLong()));
  }

  private LoanGrantMessage lend(LoanRequestMessage request) {
    Optional<Grant> grant = grants.of(request.getResource());
    if (grant.isEmpty()) {
      return new LoanGrantMessage(request.getResource(), 0, 0, 0, false);
    }
    LoanAnswer loan =
        pools.lend(request.getResource(), grant.get(), request.getWanted(), nanoClock.getAsLong());
    return new LoanGrantMessage(
        request.getResource(), loan.loanId(), loan.tokens(), loan.validNanos(), loan.wholeGrant());
  }

  private DelegationGrantMessage delegate(DelegationRequestMessage request, String owner) {
    long nowNanos = nanoClock.getAsLong();
    DelegationAnswer answer =
        grants
            .of(request.getResource())
            .map(
                grant ->
                    delegations.delegate(
                        request.getResource(), owner, grant, shares.usable(nowNanos), nowNanos))
            .orElse(DelegationAnswer.empty());
    DelegationGrantMessage message =
        new DelegationGrantMessage(
            request.getResource(),
            new ArrayList<>(answer.shares()),
            answer.tokens(),
            answer.validNanos(),
            answer.delegationId());
    answer
        .grant()
        .ifPresent(
            grant ->
                message
                    .setGrantVersion(grant.version())
                    .setTokensPerSecond(grant.tokensPerSecond())
                    .setBurst(grant.burst()));
    return message;
  }
}
