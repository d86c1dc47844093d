/** Messages between hosts. One message carries many requests; its size is limited by the frame size. */
namespace java org.trefoilbarrow.transport.peer.generated

/** Requests the shares of a resource from their holder. */
struct DelegationRequestMessage {
  1: required string resource
}

/** Delegates shares of a resource and reports its grant; no shares if the holder delegates none. */
struct DelegationGrantMessage {
  1: required string resource
  2: required list<i32> shares
  3: required double tokens
  4: required i64 validNanos
  5: required i64 delegationId
  6: optional i64 grantVersion
  7: optional double tokensPerSecond
  8: optional double burst
}

/** Returns delegated shares of a resource, with the tokens that they hold. */
struct DelegationReturnMessage {
  1: required string resource
  2: required i64 delegationId
  3: required double tokens
}

/** Requests tokens of a resource from its owner. */
struct LoanRequestMessage {
  1: required string resource
  2: required i32 wanted
}

/** Lends tokens; none if the owner has none. */
struct LoanGrantMessage {
  1: required string resource
  2: required i64 loanId
  3: required i32 tokens
  4: required i64 validNanos
  5: required bool wholeGrant
}

/** Ends a loan and returns its unspent tokens. */
struct SettlementMessage {
  1: required string resource
  2: required i64 loanId
  3: required i32 unspent
}

/** Requests permits of backend servers that serve a target. */
struct PermitRequestMessage {
  1: required string target
  2: required i32 wanted
}

/** Lends a permit of a backend server. */
struct PermitLoanMessage {
  1: required i64 loanId
  2: required string backend
  3: required i64 validNanos
}

/** Extends the loan of a permit. */
struct PermitRenewalMessage {
  1: required i64 loanId
  2: required i64 validNanos
  3: required bool recalled
}

/** A heartbeat with requests. */
struct PeerRequestMessage {
  1: required i32 version
  2: required string sender
  3: required i64 incarnation
  4: required bool leaving
  5: required list<DelegationRequestMessage> delegations
  6: required list<LoanRequestMessage> loans
  7: required list<SettlementMessage> settlements
  8: optional i64 receiverIncarnation
  9: optional list<DelegationReturnMessage> returns
  10: optional list<PermitRequestMessage> permitRequests
  11: optional list<i64> permitRenewals
  12: optional list<i64> permitReturns
}

/** The answer to a heartbeat with requests. */
struct PeerAnswerMessage {
  1: required i32 version
  2: required string host
  3: required i64 incarnation
  4: required bool leaving
  5: required list<DelegationGrantMessage> delegations
  6: required list<LoanGrantMessage> loans
  7: required i64 configurationRevision
  8: optional list<PermitLoanMessage> permitLoans
  9: optional list<PermitRenewalMessage> permitRenewals
}

/** A configuration object; a deletion if it has no value. */
struct ConfigurationObjectMessage {
  1: required string name
  2: required i64 version
  3: optional string value
}

/** A page of the configuration objects newer than a version, in order of versions. */
struct ConfigurationPageMessage {
  1: required i64 revision
  2: required list<ConfigurationObjectMessage> objects
  3: required bool complete
}

/** The status of a host, as known to the sender. */
struct HostMessage {
  1: required string host
  2: required i64 incarnation
  3: required string peerAddress
  4: required string callerAddress
  5: required string failureDomain
  6: required bool leaving
  7: required i64 heartbeat
}

service PeerService {
  PeerAnswerMessage exchange(1: PeerRequestMessage request)

  /** Reads the configuration objects newer than a version, at most limit of them. */
  ConfigurationPageMessage pullConfiguration(1: i64 afterVersion, 2: i32 limit)

  /** Announces a new host; returns the receiver and the live hosts that it knows. */
  list<HostMessage> greet(1: HostMessage newcomer)
}
