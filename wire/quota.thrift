// Allotments of tenants: reports of entry daemons to the host that divides the allotments, and its grants.
namespace cpp dragonflylane.wire

// What one daemon holds and needs of one tenant's allotment, in requests per window.
struct QuotaDemand {
  1: string tenant
  2: i64 held
  3: i64 spent
  4: i64 wanted
  5: i64 waiting
}

// `life` identifies the daemon process and `number` the report. `ageMilliseconds` is the uptime of the process. A
// complete report names each tenant of which the daemon holds or needs anything.
struct QuotaReport {
  1: string host
  2: i64 life
  3: i64 number
  4: list<QuotaDemand> demands
  5: i64 ageMilliseconds
  6: bool isComplete
}

// `allowance` replaces what the daemon holds of the tenant's allotment. A time to retry after that isn't zero means that
// nothing is left for now.
struct QuotaAllowance {
  1: string tenant
  2: i64 allowance
  3: i64 retryAfterMilliseconds
}

// Answer to the report with the same life and number. If `needsComplete` is set, the grant gives nothing and renews no
// lease: the leader doesn't know yet what the daemon holds.
struct QuotaGrant {
  1: i64 term
  2: i64 life
  3: i64 number
  4: bool needsComplete
  5: list<QuotaAllowance> allowances
}

// Exactly one field is set.
struct QuotaMessage {
  1: optional QuotaReport report
  2: optional QuotaGrant grant
}
