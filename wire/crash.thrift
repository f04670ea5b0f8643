// Notices about requests that crash upstreams: reports of the requests in flight at a crash, and clears of such reports.
// Sent as opaque broadcasts between daemons.
namespace cpp dragonflylane.wire

struct CrashDeath {
  1: string upstreamId
  2: i64 incarnation
}

struct CrashReport {
  1: CrashDeath death
  2: list<i64> fingerprints
}

struct CrashClear {
  1: i64 fingerprint
  2: list<CrashDeath> deaths
  3: bool isRelease
}

// Exactly one field is set.
struct CrashNotice {
  1: optional CrashReport report
  2: optional CrashClear clear
}

// What one daemon knows about one request.
struct CrashRecord {
  1: i64 fingerprint
  2: list<CrashDeath> deaths
  3: list<CrashDeath> cleared
  // Time until the record expires, in milliseconds.
  4: i64 remaining
}

// A step of the comparison of two daemons' records. Sent over the connection between them.
struct CrashSync {
  1: optional i64 digest
  2: optional list<i64> buckets
  3: optional list<CrashRecord> records
}
