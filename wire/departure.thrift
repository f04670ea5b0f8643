// Departures of upstreams: owner daemons have the control leader record them, and ask for them after a restart.
namespace cpp dragonflylane.wire

include "crash.thrift"

// A process of an upstream that is leaving or has left. `sequence` is that of the announcement that began the drain.
struct DepartedProcess {
  1: string upstreamId
  2: i64 process
  3: i64 sequence
  4: bool isFinal
}

// Asks for the departures at `host` after these have been recorded. `life` identifies the daemon process that asks.
struct DepartureRequest {
  1: string host
  2: i64 life
  3: list<DepartedProcess> departures
}

// All departures that are recorded at `host`, and the requests in quarantine.
struct DepartureAnswer {
  1: string host
  2: i64 life
  3: list<DepartedProcess> departures
  4: list<crash.CrashRecord> quarantine
}

// Exactly one field is set.
struct DepartureMessage {
  1: optional DepartureRequest request
  2: optional DepartureAnswer answer
}
