#pragma once

// Encoding of the plan book's commands and of its snapshot (wire/plan.thrift). Errors as in ConfigWire.h.

#include "dragonflylane/PlanBook.h"

namespace dragonflylane {

/// Contents of a serialised plan book.
struct PlanBookImage {
    ConfigState state;
    /// Oldest first.
    std::vector<ConfigDelta> deltas;
    std::vector<PlanRecord> plans;
    std::string document;
    /// Oldest first.
    std::vector<AcceptedDocument> accepted;
};

/// Limits on decoding.
struct PlanWireLimits {
    /// A plan's JSON may have 256 KB; its encoding is shorter.
    static constexpr size_t commandBytes = size_t { 1 } << 20;
    /// A whole document before its compression.
    static constexpr size_t documentBytes = size_t { 8 } << 20;
    /// State, deltas and plans at their limits, with a reserve.
    static constexpr size_t imageBytes = size_t { 48 } << 20;
};

std::string encodeCommand(const PlanCommand&);
std::error_code decodeCommand(std::string_view, PlanCommand*);
/// Bytes that the record takes in an encoded book.
size_t encodedSize(const PlanRecord&);
std::string encodeImage(const PlanBookImage&);
std::error_code decodeImage(std::string_view, PlanBookImage*);

} // namespace dragonflylane
