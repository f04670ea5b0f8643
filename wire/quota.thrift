// Allotments of tenants: reports of entry daemons to the host that divides the allotments, and its grants.
namespace cpp dragonflylane.wire

// What one daemon holds and needs of one tenant's allotment, in requests per window.
struct QuotaDemand {
  1: string tenant
  2: i64 held
  3: i64 spent
  4: i64 wanted
}

struct QuotaReport {
  1: string host
  2: i64 life
  3: i64 number
  4: list<QuotaDemand> demands
}

// `allowance` replaces what the daemon holds of the tenant's allotment.
struct QuotaAllowance {
  1: string tenant
  2: i64 allowance
  3: i64 retryAfterMilliseconds
}

struct QuotaGrant {
  1: i64 term
  2: i64 life
  3: i64 number
  4: i64 revision
  5: list<QuotaAllowance> allowances
}

// What one daemon holds, as the dividing host reports it to the hosts that may replace it.
struct QuotaHolding {
  1: string host
  2: i64 life
  3: list<QuotaAllowance> allowances
}

struct QuotaTable {
  1: i64 term
  2: list<QuotaHolding> holdings
}

// Exactly one field is set.
struct QuotaMessage {
  1: optional QuotaReport report
  2: optional QuotaGrant grant
  3: optional QuotaTable table
}
