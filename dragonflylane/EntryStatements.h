#pragma once

// What an entry daemon knows of the statements of upstreams. Kept apart from the routing table, which drops an upstream
// as soon as its owner daemon is gone. Bounded in number and time. Contains no clock.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ProcessStatement.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace dragonflylane {

struct EntryStatementsOptions {
    /// Above this, the statement that was updated longest ago is dropped.
    size_t maxUpstreams { 1024 };
    Duration maxAge { std::chrono::minutes(10) };
};

class EntryStatements {
public:
    explicit EntryStatements(EntryStatementsOptions options = {})
        : m_options(options)
    {
    }

    /// Records what the owner daemon of the upstream has answered; empty if the upstream states nothing (any more).
    /// O(1), or O(maxUpstreams) when full.
    void record(const UpstreamId&, const std::optional<ProcessStatement>&, TimePoint now);
    /// Null if nothing is known.
    const ProcessStatement* find(const UpstreamId&, TimePoint now) const;
    size_t size() const { return m_upstreams.size(); }

private:
    struct Known {
        ProcessStatement statement;
        TimePoint updatedAt;
    };

    void dropOldest();

    EntryStatementsOptions m_options;
    std::unordered_map<UpstreamId, Known> m_upstreams;
};

} // namespace dragonflylane
