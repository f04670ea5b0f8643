// Gossip datagrams between daemons: probes, member records, digests and application broadcasts.
namespace cpp dragonflylane.wire

// A process of an upstream that is leaving. Lets an owner daemon that was restarted recognise its late announcements.
struct GossipDeparture {
  1: i64 process
  2: i64 sequence
  3: bool isFinal
}

struct GossipUpstream {
  1: string id
  2: string serviceName
  3: i32 phase
  4: i32 slots
  5: i64 incarnation
  6: optional GossipDeparture departure
  // Version of the upstream's software. Not set: not stated.
  7: optional string version
}

struct GossipMemberRecord {
  1: string host
  2: string address
  3: i32 port
  4: string dataCentre
  5: string region
  6: i64 life
  7: i64 incarnation
  8: i64 sequence
  9: i32 state
  10: i32 controlRole
  11: optional GossipUpstream upstream
}

struct GossipBroadcast {
  1: string origin
  2: i64 life
  3: i64 number
  4: binary payload
}

// Records and broadcasts that are piggybacked on another message.
struct GossipCargo {
  1: optional list<GossipMemberRecord> records
  2: optional list<GossipBroadcast> broadcasts
}

struct GossipPing {
  1: i32 number
  2: i32 target
  3: optional GossipCargo cargo
}

struct GossipIndirectPing {
  1: i32 number
  2: i32 target
  3: string address
  4: i32 port
  5: optional GossipCargo cargo
}

struct GossipAcknowledgement {
  1: i32 number
  2: optional GossipCargo cargo
}

struct GossipPageRequest {
  1: i32 number
  2: i64 first
  3: i64 last
  4: bool contactsOnly
  5: bool acceptPartial
}

struct GossipDigestRequest {
  1: optional i64 root
  2: optional list<i64> wanted
  3: optional GossipPageRequest page
  4: optional GossipMemberRecord sender
}

struct GossipDigestEntry {
  1: i64 hostHash
  2: i64 incarnation
  3: i64 sequence
  4: i32 state
  5: i32 tieBreak
}

// Either the digests of all buckets, 4 bytes each, or the entries of one range of host hashes.
struct GossipDigest {
  1: optional binary buckets
  2: i64 first
  3: i64 last
  4: optional list<GossipDigestEntry> entries
}

struct GossipPageEnd {
  1: i32 number
  2: i64 nextHash
  3: bool isLast
}

struct GossipRecords {
  1: optional GossipCargo cargo
  2: optional GossipPageEnd page
}

// Exactly one field is set.
struct GossipEnvelope {
  1: optional GossipPing ping
  2: optional GossipIndirectPing indirectPing
  3: optional GossipAcknowledgement acknowledgement
  4: optional GossipDigestRequest digestRequest
  5: optional GossipDigest digest
  6: optional GossipRecords records
}
