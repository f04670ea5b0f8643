// Frames between daemons for the handshake and for forwarded calls.
namespace cpp dragonflylane.wire

// First frame of the handshake in each direction.
struct Hello {
  1: string meshId
  2: string hostId
  3: binary nonce
}

// Second frame of the handshake in each direction: proves knowledge of the shared secret over the nonces of both sides.
struct HelloProof {
  1: binary proof
}

struct Header {
  1: string name
  2: string value
}

// What a process of an upstream has stated about itself in its responses.
struct UpstreamStatement {
  1: i64 process
  // Requests per second. Not set: it stated no limit.
  2: optional double rateLimit
  3: bool leaving
}

// The running call of an upstream that makes a nested call.
struct ParentOfCall {
  // Priority of its route.
  1: i32 priority
  2: i32 tenantPriority
}

struct ForwardRequest {
  1: i64 requestId
  2: string traceId
  3: string serviceName
  4: string upstreamId
  5: i64 upstreamIncarnation
  6: i64 remainingMicroseconds
  7: i32 attempt
  8: i32 hops
  9: bool idempotent
  10: bool order
  11: i64 fingerprint
  12: string method
  13: string target
  14: list<Header> headers
  15: binary body
  16: string callerService
  17: i32 priority
  18: i64 routeKey
  19: i64 targetMicroseconds
  20: i64 maxWaitMicroseconds
  // What the entry daemon knows of the upstream, for an owner that was restarted.
  21: optional UpstreamStatement known
  // Tenant whose key the caller presented. Not set: calls of upstreams, and meshes without tenants.
  22: optional string tenant
  23: optional i32 tenantPriority
  // Not set: not a nested call.
  25: optional ParentOfCall parent
  // How often the caller was refused before. Not set: never.
  26: optional i32 earlierRefusals
  // Typical service time of the route at the upstreams of the service. Not set: no upstream has stated its own.
  27: optional i64 typicalServiceMicroseconds
}

struct ForwardResponse {
  1: i64 requestId
  2: i32 code
  3: i32 status
  4: list<Header> headers
  5: binary body
  6: i32 running
  7: i32 queued
  8: i32 limit
  9: i64 serviceMicroseconds
  10: i64 retryAfterMicroseconds
  // Time from the receipt of the request at the owner to its response.
  11: i64 heldMicroseconds
  // Not set if the upstream states neither a limit nor that it is leaving.
  12: optional UpstreamStatement statement
  // How long work takes at the upstream at this moment, in percent of its usual time. Not set: not stated.
  13: optional i32 slownessPercent
  // Calls that the owner lets run at the same time while the upstream warms up. Not set: all slots.
  14: optional i32 paceLimit
  // Usual service time of the call's route at the upstream. Not set: the upstream states no load, or has answered none.
  17: optional i64 usualServiceMicroseconds
  // Time that the upstream has worked on the request. Not set: it did not get the request.
  18: optional i64 runMicroseconds
}

struct ForwardCancel {
  1: i64 requestId
}

// A call that is transferred to another entry daemon by one that may not serve routes yet. Also carries API requests.
struct CallTransfer {
  1: i64 requestId
  2: string traceId
  3: i64 remainingMicroseconds
  4: string method
  5: string target
  6: list<Header> headers
  7: binary body
  8: string callerService
  // SHA-256 of the API key that the caller presented. The key itself is not sent.
  9: optional binary apiKeyHash
  // Set if the call is nested in one that runs at the upstream of the sending daemon's host: the tenant of that call,
  // which may be empty, and its priority.
  10: optional string parentTenant
  11: optional i32 parentTenantPriority
  // The header with the credentials was left out, since the sender can't tell whether it holds an API key.
  12: optional bool omitsCredentials
}
