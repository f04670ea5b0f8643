// Idempotency protocol: claims of idempotency keys, between entry daemons (coordinators) and keepers (hosts that store
// idempotency records), and transfers of records between keepers.
namespace cpp dragonflylane.wire

struct ClaimId {
  1: string coordinator
  2: i64 life
  3: i64 number
}

struct ClaimRequest {
  1: ClaimId id
  2: i64 epoch
  3: binary key
}

struct ClaimReply {
  1: ClaimId id
  2: i32 status
  3: i32 code
  4: binary answer
}

struct ClaimRelease {
  1: ClaimId id
  2: binary key
}

struct ClaimFinish {
  1: ClaimId id
  2: binary key
  3: bool hasAnswer
  4: binary answer
}

struct ClaimAck {
  1: ClaimId id
}

struct DuplicateRecord {
  1: binary key
  2: i32 state
  3: list<ClaimId> claims
  4: binary answer
  5: i64 ageNanoseconds
}

struct KeeperHost {
  1: string host
  2: string dataCentre
}

struct KeeperGap {
  1: i64 epoch
  2: list<KeeperHost> hosts
  3: list<string> missing
  4: i64 remainingNanoseconds
}

struct TransferRequest {
  1: i64 epoch
  2: i32 purpose
  3: i64 transfer
  4: binary afterKey
}

struct TransferChunk {
  1: i64 epoch
  2: i32 purpose
  3: i64 transfer
  4: binary afterKey
  5: bool isComplete
  6: bool isLast
  7: list<DuplicateRecord> records
  8: list<KeeperGap> gaps
}

// Exactly one field is set.
struct ClaimMessage {
  1: optional ClaimRequest request
  2: optional ClaimReply reply
  3: optional ClaimRelease releaseClaim
  4: optional ClaimFinish finish
  5: optional ClaimAck ack
  6: optional TransferRequest transferRequest
  7: optional TransferChunk transferChunk
}
