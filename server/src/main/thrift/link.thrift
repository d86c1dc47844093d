/** Messages between the hosts that serve callers and the hosts that dispatch and run jobs. */
namespace java org.trefoilbarrow.transport.link.generated

/** Introduces a host on a new connection. */
struct HelloMessage {
  1: required string host
  2: required bool servesCallers
  3: required i64 startedMillis
}

/** Asks for a place at a backend server, or reports a call that already has one. */
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
}

/** Ends a demand: the call is over, or no longer wanted. */
struct FinishedMessage {
  1: required i64 call
  2: required i32 result
}

/** Gives a place. */
struct PlacedMessage {
  1: required i64 call
  2: required string backend
}

/** Refuses a demand. */
struct RefusedMessage {
  1: required i64 call
  2: required i32 reason
  3: required i64 retryAfterMillis
}

/** Takes the place of a batch item back. */
struct RevokedMessage {
  1: required i64 call
}

/** Asks for results of a batch job, or the body of an item. */
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

/** Answers a read of a batch job. */
struct JobAnswerMessage {
  1: required i64 read
  2: required i32 state
  3: required i32 total
  4: required list<JobResultMessage> results
  5: optional binary body
}

/** Asks for a sign of life; the answer is the same message. */
struct PulseMessage {
  1: required i64 number
  2: required bool answer
  /** Whether the sender follows the platform at present. */
  3: required bool fit
  /**
   * In a question: whether the sender takes its places from the host that it asks. In an answer:
   * whether hosts that serve callers take theirs from the sender.
   */
  4: optional bool takesPlaces
}

/** One frame. */
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
}
