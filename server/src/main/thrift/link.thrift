/** Messages between the hosts that serve callers and the hosts that dispatch and run jobs. */
namespace java org.trefoilbarrow.transport.link.generated

/**
 * Identifies the sender; the receiver drops all demands that it holds for the sender. Sent on a new
 * connection and when the sender changes its dispatching host.
 */
struct HelloMessage {
  1: required string host
  2: required bool servesCallers
  3: required i64 startedMillis
}

/** Requests a slot at a backend server, or reports a call that already has one. */
struct DemandMessage {
  1: required i64 call
  2: required string target
  3: optional string organisation
  4: required i32 priority
  5: required bool batch
  6: required i64 objectiveMillis
  7: required i64 remainingMillis
  8: required i64 tokens
  9: required bool repeated
  10: optional list<string> excluded
  11: optional string runningOn
  12: required string request
  /** The parts of the prompt that other work may share, in their order. */
  13: optional list<string> promptParts
  /** The number of tokens of the prompt, if the request states it. */
  14: optional i32 promptTokens
  /** The expected number of tokens of the response, if it is known. */
  15: optional i32 outputTokens
  /** The name of the route that the work was requested on. */
  16: optional string route
  /** The failure domain of the sender. */
  17: optional string callerDomain
  /** How much longer a batch item is expected to run. */
  18: optional i64 expectedRunMillis
  /** The number of tokens of each part in promptParts. */
  19: optional list<i32> promptPartTokens
  /** The organisation that the work is done for, also if it is charged to no rate. */
  20: optional string caller
}

/** Ends a demand: the call has finished or was cancelled. */
struct FinishedMessage {
  1: required i64 call
  2: required i32 result
  /** Whether a backend server began to answer. */
  3: optional bool responseBegan
  /** The time from sending the request to the first part of its response. */
  4: optional i64 firstPartMillis
  /** The number of events of the response. */
  5: optional i32 outputEvents
}

/** Assigns a slot at a backend server to a demand. */
struct PlacedMessage {
  1: required i64 call
  2: required string backend
  /** The number of the term in which the sender dispatches. */
  3: optional i64 term
}

/** Refuses a demand. */
struct RefusedMessage {
  1: required i64 call
  2: required i32 reason
  3: required i64 retryAfterMillis
  /** The part of the prompt that is in quarantine, if that is the reason. */
  4: optional string promptPart
}

/** Revokes the slot of a batch item. */
struct RevokedMessage {
  1: required i64 call
}

/** Requests results of a batch job, or the body of one item. */
struct JobReadMessage {
  1: required i64 read
  2: required string job
  3: required string organisation
  4: required i32 position
  5: required i64 waitMillis
  6: optional string item
}

/** One result of a batch job. */
struct JobResultMessage {
  1: required string item
  2: required bool completed
  3: required string output
}

/** Answers a {@link JobReadMessage}. */
struct JobAnswerMessage {
  1: required i64 read
  2: required i32 state
  3: required i32 total
  4: required list<JobResultMessage> results
  5: optional binary body
}

/** What the sender of a heartbeat knows about the dispatching host. */
struct TermReportMessage {
  /** The newest term that the sender knows; unset if it knows none. */
  1: optional i64 number
  2: optional string holder
  3: optional i64 holderStartedMillis
  /** Whether the sender reaches the holder of that term, or holds it. */
  4: required bool reachesHolder
  /** Whether the sender holds that term and wants another host to take over. */
  5: required bool resigned
  /** Whether the sender can take over. */
  6: required bool candidate
}

/** A heartbeat; the receiver answers with a message of the same type. */
struct PulseMessage {
  1: required i64 number
  2: required bool answer
  /** Whether the sender is connected to the platform. */
  3: required bool fit
  /**
   * In a request: whether the sender gets its slots from the receiver. In an answer: whether any
   * host that serves callers gets its slots from the sender.
   */
  4: optional bool takesPlaces
  5: optional TermReportMessage report
  /**
   * The revisions of the newest changes that the sender knows, by collection; only those that are
   * new on this connection.
   */
  6: optional map<string, i64> revisions
}

/**
 * Reports the end of a backend server under a request that had been sent there and whose response
 * had not begun.
 */
struct ServerEndMessage {
  1: required string backend
  2: required string domain
  3: required i64 ageMillis
  /** The parts of the request's prompt that other work may share, in their order. */
  4: required list<string> promptParts
  /** How long ago the sender saw a part to be sound, for the parts of which it knows. */
  5: required map<string, i64> soundAgesMillis
}

/** Reports that a backend server stated in a response that it is leaving. */
struct BackendLeavingMessage {
  1: required string backend
  /** How long ago the sender received the response. */
  2: required i64 ageMillis
  /** When the server started, in milliseconds since the epoch; unset if unknown. */
  3: optional i64 bornMillis
}

/** Watches a collection of the platform through the receiver. */
struct WatchMessage {
  1: required i64 watch
  2: required string collection
  3: required i64 afterRevision
  4: required i64 waitMillis
}

/** A change of an object. */
struct ObjectChangeMessage {
  1: required string name
  2: required i64 version
  /** The new value; unset if the object was deleted. */
  3: optional string value
}

/** Answers a {@link WatchMessage}; without a revision, the receiver has to ask the platform. */
struct WatchResultMessage {
  1: required i64 watch
  2: optional i64 revision
  3: optional list<ObjectChangeMessage> changes
  /** Whether the changes are all objects of the collection, and replace what the receiver has. */
  4: optional bool snapshot
}

/** One message on a link; each frame holds one. */
union LinkMessage {
  1: HelloMessage hello
  2: DemandMessage demand
  3: FinishedMessage finished
  4: PlacedMessage placed
  5: RefusedMessage refused
  6: RevokedMessage revoked
  7: JobReadMessage jobRead
  8: JobAnswerMessage jobAnswer
  9: PulseMessage pulse
  10: ServerEndMessage serverEnd
  11: BackendLeavingMessage backendLeaving
  12: WatchMessage watch
  13: WatchResultMessage watchResult
}
