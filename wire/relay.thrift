// Distribution tree: heartbeats, configuration payloads and acknowledgements between a daemon and its parent.
namespace cpp dragonflylane.wire

struct RelayStraggler {
  1: string hostId
  2: i64 revision
}

struct RelayRevisionRefusal {
  1: string hostId
  2: i64 revision
  3: i32 code
}

struct RelayAckSummary {
  1: i64 lowest
  2: i32 hosts
  3: optional list<RelayStraggler> stragglers
  4: optional list<RelayRevisionRefusal> refusals
}

// A digest is 16 bytes, high half first, big endian.
struct RelayAttach {
  1: i32 session
  2: i64 timestamp
  3: i64 revision
  4: binary digest
  5: i64 term
  6: RelayAckSummary summary
}

struct RelayChildHeartbeat {
  1: i32 session
  2: i64 timestamp
  3: optional i64 revision
  4: optional binary digest
  5: optional RelayAckSummary summary
  6: optional RelayRevisionRefusal refused
  7: optional bool wantsSnapshot
}

struct RelayDetach {
  1: i32 session
}

struct RelayPayload {
  1: i32 kind
  2: binary content
  3: i64 revision
  4: binary digest
}

struct RelayParentHeartbeat {
  1: i32 session
  2: i64 echo
  3: optional i64 proofAge
  4: optional i64 sinceProof
  5: optional i64 term
  6: optional i64 revision
  7: optional binary digest
  8: optional RelayPayload payload
}

struct RelayRefusal {
  1: i32 session
  2: i32 code
  3: i64 retryAfter
}

struct RelayLeaving {
  1: i32 session
}

// Exactly one field is set.
union RelayMessage {
  1: RelayAttach attach
  2: RelayChildHeartbeat childHeartbeat
  3: RelayDetach detach
  4: RelayParentHeartbeat parentHeartbeat
  5: RelayRefusal refusal
  6: RelayLeaving leaving
}
