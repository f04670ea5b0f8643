// Evidence on the versions of a service during a roll-out, from entry daemons to the control leader.
namespace cpp dragonflylane.wire

// Answers of one version on one route since the start of the daemon's count. Times are microseconds.
struct RolloutTally {
  1: string serviceName
  2: string version
  3: i64 routeKey
  4: i64 sent
  5: i64 answered
  6: i64 failed
  7: i64 slow
  8: i64 latencySum
}

struct RolloutEvidence {
  1: string host
  2: i64 life
  3: i64 number
  4: list<RolloutTally> tallies
}
