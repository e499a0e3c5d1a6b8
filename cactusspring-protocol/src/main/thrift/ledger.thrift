/**
 * Records of the job ledger in the platform's store, compact protocol: one struct is one value.
 * Fields that hold nothing (0, false, empty) are left out. Times are Unix milliseconds.
 */
namespace java io.cactusspring.protocol.gen.ledger

/** What a call for placement advice costs. */
struct AdviceTermsRecord {
  1: optional double baseMillis
  2: optional double perExecutorMillis
  3: optional i64 validityMillis
}

/** A queue as it was configured when a job was accepted. */
struct QueueRecord {
  1: required string name
  2: optional string callerHost
  3: optional string pathPrefix
  4: optional string serviceName
  5: optional i32 priority
  6: optional i32 maxAttempts
  7: optional double stretch
  8: optional i64 targetLatencyMillis
  /** Absent if any executor of the service may run a step. */
  9: optional AdviceTermsRecord advice
  10: optional bool open
}

/** Equal tasks of a job that become ready together. */
struct StepRecord {
  1: required i32 tasks
  2: optional i64 milliProcessors
  3: optional i64 memoryMib
  4: optional i32 accelerators
  5: optional i64 estimateMillis
  6: optional list<i32> after
  7: optional bool checkpoints
  8: optional bool gang
  9: optional bool sameRack
  10: optional string requiredLabel
  11: optional string dataRack
  12: optional i32 maxPerExecutor
  13: optional bool speculative
  14: optional bool longRunning
  15: optional string image
  16: optional i64 targetMillis
  17: optional bool fills
  18: optional i32 maxUnavailable
}

/** A job as a caller submitted it. */
struct JobRecord {
  1: required string id
  2: required QueueRecord queue
  3: optional string organisation
  4: optional string payload
  5: required list<StepRecord> steps
  6: optional i64 startMillis
  7: optional i64 intervalMillis
  8: optional i32 repetitions
  9: optional i64 acceptedMillis
}

enum JobStateCode {
  PENDING = 1
  RUNNING = 2
  COMPLETED = 3
  FAILED = 4
  CANCELLED = 5
}

struct TaskProgressRecord {
  1: optional bool done
  /** Number of the last run. */
  2: optional i32 run
  3: optional i32 failures
  /** Absent if the last run is over. */
  4: optional string executor
  5: optional i64 bootMillis
  6: optional string checkpoint
  /** Number of executors that crashed under a run of the task, which may be the cause. */
  7: optional i32 crashes
  /** Number of those crashes that came shortly after the start of the task. */
  8: optional i32 earlyCrashes
  /** Number of other ends of runs that bound how often the task may start again. */
  9: optional i32 otherCrashes
}

struct StepProgressRecord {
  1: optional i32 occurrence
  2: optional i32 step
  /** The tasks are left out then. */
  3: optional bool done
  /** The failures and crashes of a gang are in the record of its first member. */
  4: optional list<TaskProgressRecord> tasks
  /** Number of the gang's last run that was counted as failed; absent in earlier versions. */
  5: optional i32 failedRun
  /** Number of the gang's last run that was counted as crashed; absent in earlier versions. */
  6: optional i32 crashedRun
}

struct StepsProgressRecord {
  1: optional list<StepProgressRecord> steps
}

/** What an owner has stored about a job. */
struct JobProgressRecord {
  1: required i64 term
  2: required JobStateCode state
  3: optional bool started
  /** A StepsProgressRecord: a reader that needs only the state does not decode it. */
  4: optional binary steps
  /** Increases with each record of the term; a job's records may be in several partitions. */
  5: optional i64 version
  /** Set once the state is final, as the submission is deleted then. */
  6: optional string queue
  7: optional string organisation
}

/** Who owns the executors. */
struct OwnerClaimRecord {
  1: required i64 term
  2: required string host
  3: required string incarnation
  4: optional bool released
  /** Where other entry hosts reach the owner. */
  5: optional string address
  /** Number of the heartbeat within the term. */
  6: optional i64 heartbeat
  /**
   * Whether the owner may have granted leases; absent in records of earlier versions, as are the
   * fields below.
   */
  7: optional bool leasesGranted
  /** How long after this record leases of earlier owners may last. */
  8: optional i64 earlierLeasesMillis
  /**
   * How long after this record any lease may last on executors that do not answer, by executor id.
   * They get no lease while this record is the newest.
   */
  9: optional map<string, i64> silentExecutorMillis
  /**
   * How long after this record leases may last on executors that may have taken longer ones than
   * owners grant, by executor id; absent in earlier versions.
   */
  10: optional map<string, i64> longLeaseMillis
}
