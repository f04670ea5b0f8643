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
