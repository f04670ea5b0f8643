#pragma once

// Encoding of the state machine's commands and of its snapshot (wire/plan.thrift). Errors are as in ConfigWire.h.

#include "dragonflylane/PlanStateMachine.h"

namespace dragonflylane {

/// Contents of a snapshot of the state machine; PlanBookSnapshot on the wire.
struct PlanStateMachineSnapshot {
    ConfigState state;
    /// Oldest first.
    std::vector<ConfigDelta> deltas;
    std::vector<PlanRecord> plans;
    std::string document;
    /// Oldest first.
    std::vector<AcceptedDocument> accepted;
    /// The host with the latest departure comes last.
    std::vector<HostDepartures> departures;
    std::vector<QuarantinedRequest> quarantine;
};

/// Limits on decoding.
struct PlanWireLimits {
    /// Limit of an encoded command. The JSON of a plan has at most 256 KB, and its encoding is shorter.
    static constexpr size_t commandBytes = size_t { 1 } << 20;
    /// Limit of an operator document before compression.
    static constexpr size_t documentBytes = size_t { 8 } << 20;
    /// Limit of a snapshot: configuration, deltas and plans at their limits, with a reserve.
    static constexpr size_t planSnapshotBytes = size_t { 48 } << 20;
};

std::string encodeCommand(const PlanCommand&);
std::error_code decodeCommand(std::string_view, PlanCommand*);
/// Size of an encoded record in bytes.
size_t encodedSize(const PlanRecord&);
std::string encodePlanSnapshot(const PlanStateMachineSnapshot&);
std::error_code decodePlanSnapshot(std::string_view, PlanStateMachineSnapshot*);

} // namespace dragonflylane
