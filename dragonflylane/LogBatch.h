#pragma once

// Content of one record of the log file.

#include "dragonflylane/LogMessages.h"

#include <cstddef>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// A write, with the replica id in the first record of a file.
struct LogBatch {
    std::optional<ReplicaId> replicaId;
    LogWrite write;

    bool operator==(const LogBatch&) const = default;
};

/// Largest encoded batch in bytes: the largest snapshot plus the entries in memory, with space for their fields.
inline constexpr size_t maxLogBatchBytes = 192U << 20;

std::string encode(const LogBatch&);
/// Returns LogDamaged on invalid input.
std::error_code decode(std::string_view, LogBatch&);

} // namespace dragonflylane
