/**
 * Messages between the owner of the executors and the other entry hosts: one LinkMessage in each
 * length-prefixed frame, compact protocol.
 */
namespace java io.cactusspring.protocol.gen.link

include "ledger.thrift"

/** First message of a connection, sent by the host that opened it. */
struct HelloMessage {
  1: required string host
  /** Id of the sending process. */
  2: required string incarnation
  /** Processing power in thousandths of a processor. */
  3: optional i32 milliProcessors
}

enum OwnerPhaseCode {
  /** The sender does not own the executors, or not any more. */
  NONE = 1
  /** The sender has claimed ownership and reads the ledger. */
  TAKING_OVER = 2
  ACTIVE = 3
}

/** Sent periodically by the process that accepted the connection. */
struct OwnerStatusMessage {
  /** Id of the sending process. */
  1: required string incarnation
  /** Term of the sender's last claim; 0 if it never claimed. */
  2: required i64 term
  3: required OwnerPhaseCode phase
  /** Milliseconds since the sender's last successful append was sent to the store. */
  4: required i64 storeAgeMillis
  /** Milliseconds until the next status message. */
  5: required i64 intervalMillis
  /** Position of the receiver, from 0, among the hosts that may succeed the owner. */
  6: optional i32 successionRank
  /**
   * Duration of tasks on executors with a label relative to a normal executor, as the owner has
   * measured it; a successor begins with these values.
   */
  7: optional map<string, double> durationFactors
}

/** Names a job and what its caller may see. */
struct JobReferenceMessage {
  1: required string id
  2: required string queue
  /** Absent if the caller may see the jobs of all organisations. */
  3: optional string organisation
}

struct SubmitMessage {
  1: required i64 id
  2: required ledger.JobRecord job
}

struct CancelMessage {
  1: required i64 id
  2: required JobReferenceMessage job
}

struct StateMessage {
  1: required i64 id
  2: required JobReferenceMessage job
}

/** Asks for the number of accepted jobs of a queue that have not begun. */
struct CountMessage {
  1: required i64 id
  2: required string queue
}

/** Asks the receiver to call the advice service. */
struct AdviceMessage {
  1: required i64 id
  2: required string job
  3: required i32 occurrence
  4: required i32 step
  5: required list<string> executors
  6: required i64 timeoutMillis
}

enum VerdictCode {
  /** The request is stored. */
  STORED = 1
  /** The request has no effect and never will. */
  REFUSED = 2
  /** The request may have been stored, or may still be stored. */
  UNDECIDED = 3
  /** The sender knows no such job. */
  UNKNOWN_JOB = 4
}

/** Answers a SubmitMessage or a CancelMessage. */
struct VerdictMessage {
  1: required i64 id
  2: required VerdictCode verdict
  3: optional string reason
  /**
   * Set with REFUSED if the sender has too much work: milliseconds after which the caller may
   * submit the job again.
   */
  4: optional i64 retryAfterMillis
}

struct StateReplyMessage {
  1: required i64 id
  /** Absent if the sender knows no such job. */
  2: optional ledger.JobStateCode state
}

struct CountReplyMessage {
  1: required i64 id
  2: required i64 jobs
}

struct AdviceReplyMessage {
  1: required i64 id
  /** Tickets by executor id; executors that may not run the step are left out. */
  2: required map<string, string> tickets
}

/** The request had no effect. */
struct FailureMessage {
  1: required i64 id
  2: required string reason
}

union LinkMessage {
  1: HelloMessage hello
  2: OwnerStatusMessage ownerStatus
  3: SubmitMessage submit
  4: CancelMessage cancel
  5: StateMessage state
  6: CountMessage count
  7: AdviceMessage advice
  8: VerdictMessage verdict
  9: StateReplyMessage stateReply
  10: CountReplyMessage countReply
  11: AdviceReplyMessage adviceReply
  12: FailureMessage failure
}
