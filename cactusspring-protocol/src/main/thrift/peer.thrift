/** Messages between entry hosts: one PeerMessage in each length-prefixed frame, compact protocol. */
namespace java io.cactusspring.protocol.gen

/** First message of a connection, in both directions. */
struct Hello {
  1: required string name
  2: required string zone
  /** Id of this process start. */
  3: required string incarnation
  4: required string cell
}

/** Demand and usage of a team at one budget account. */
struct TeamLoad {
  1: required string team
  2: required string account
  /** Units running. */
  3: required i32 running
  /** Units that wait for budget. */
  4: required i32 waiting
}

/** Free capacity of a shard, for the choice of a home. */
struct ShardLoad {
  1: required string shard
  2: required i64 freeMilliProcessors
  3: required i64 freeMemoryMib
  4: required i32 freeAccelerators
  5: required i32 waitingRuns
}

/** Requests in flight from one entry host to an endpoint. */
struct EndpointLoad {
  1: required string endpoint
  2: required i32 inFlight
}

/** Sent to every peer each heartbeat interval. */
struct Heartbeat {
  1: required i64 sequence
  /** Highest sequence heard from the receiver's present incarnation; 0 for none. */
  2: required i64 acknowledges
  /**
   * Whether the sender promises not to claim shards of the receiver until the takeover time has
   * passed since the acknowledged heartbeat was received.
   */
  3: required bool promise
  4: required i64 nextOffset
  /** Age in milliseconds of the sender's last evidence that it has read the log to its end. */
  5: required i64 logAgeMillis
  6: required bool draining
  7: required list<TeamLoad> teams
  8: required list<ShardLoad> shards
  9: required list<EndpointLoad> endpoints
  10: optional i64 configRevision
}

/** Asks for records of the platform's log that the receiver has kept. */
struct RecordsRequest {
  1: required i64 id
  2: required i64 fromOffset
}

struct OffsetRecord {
  1: required i64 offset
  2: required string data
}

/** Answers a RecordsRequest with records, or with a snapshot where they are no longer kept. */
struct RecordsReply {
  1: required i64 id
  2: required list<OffsetRecord> records
  3: required i64 logAgeMillis
  /** Encoded state up to snapshotNextOffset, exclusive. */
  4: optional string snapshot
  5: optional i64 snapshotNextOffset
  /** First offset that the sender has not applied. */
  6: required i64 nextOffset
}

/** Asks the receiver to append records to the platform's log. */
struct AppendRequest {
  1: required i64 id
  2: required list<string> records
}

struct AppendReply {
  1: required i64 id
  /** False if the log could not be reached; the records may land later all the same. */
  2: required bool appended
}

union PeerMessage {
  1: Hello hello
  2: Heartbeat heartbeat
  3: RecordsRequest recordsRequest
  4: RecordsReply recordsReply
  5: AppendRequest appendRequest
  6: AppendReply appendReply
}
