// Messages between replicas of the log, and the records of the log file.
namespace cpp dragonflylane.wire

struct LogMember {
  1: string id
  2: string host
}

struct LogMembership {
  1: list<LogMember> voters
  2: list<LogMember> learners
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: i32 kind
  4: binary payload
  5: LogMembership membership
}

struct LogSnapshot {
  1: i64 index
  2: i64 term
  3: LogMembership membership
  4: binary data
}

struct LogVoteRequest {
  1: bool preVote
  2: i64 lastIndex
  3: i64 lastTerm
}

struct LogVoteResponse {
  1: bool preVote
  2: bool granted
}

// Times are nanoseconds of the boot clock of the host that first sent them. `askedAt` is the time at which the leader
// sent the request; `life` is the follower's boot ID and `sentAt` the time at which it sent the response. The leader
// returns the latest of them as `echoLife` and `echo`. `proofAge` is the age of the leader's proof of leadership.
struct LogAppendRequest {
  1: i64 previousIndex
  2: i64 previousTerm
  3: list<LogEntry> entries
  4: i64 commitIndex
  5: i64 askedAt
  6: optional i64 proofAge
  7: i64 echoLife
  8: optional i64 echo
}

struct LogAppendResponse {
  1: bool accepted
  2: i64 matchIndex
  3: i64 conflictTerm
  4: i64 conflictIndex
  5: i64 askedAt
  6: i64 life
  7: i64 sentAt
}

struct LogSnapshotRequest {
  1: i64 index
  2: i64 snapshotTerm
  3: LogMembership membership
  4: i64 offset
  5: i64 totalBytes
  6: binary data
  7: i64 askedAt
}

struct LogSnapshotResponse {
  1: i64 index
  2: i64 receivedBytes
  3: i64 askedAt
  4: i64 life
  5: i64 sentAt
}

// `heard` lists the replicas whose join requests the sender has received; `mayFound` is set if it may take part in the
// bootstrap of a log.
struct LogJoinRequest {
  1: bool isEmpty
  2: list<string> heard
  3: bool mayFound
}

// Exactly one of the optional fields is set.
struct LogMessage {
  1: LogMember sender
  2: string recipient
  3: i64 term
  4: optional LogVoteRequest voteRequest
  5: optional LogVoteResponse voteResponse
  6: optional LogAppendRequest appendRequest
  7: optional LogAppendResponse appendResponse
  8: optional LogSnapshotRequest snapshotRequest
  9: optional LogSnapshotResponse snapshotResponse
  10: optional LogJoinRequest joinRequest
}

// One atomic change of the log. The fields are applied in their order.
struct LogBatch {
  1: optional string replicaId
  2: optional i64 term
  3: optional string votedFor
  4: optional i64 truncateFrom
  5: optional LogSnapshot snapshot
  6: list<LogEntry> entries
}
