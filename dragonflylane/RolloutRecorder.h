#pragma once

// Counts, at one entry daemon, how upstreams of the target and of other versions answer during roll-outs.
//
//     RolloutRecorder recorder(host, process);
//     recorder.setRoutingTable(*routingTable);
//     RolloutAttemptId attempt = recorder.begin(service, version, routeKey);     // a request is sent
//     recorder.end(attempt, RolloutOutcome::Answered, runTime);                  // exactly once for each begin()
//     if (auto report = recorder.report()) ...                                   // a few times a second
//
// Only services with a running roll-out are counted. Bounded by `maxTallies`. Contains no clock. begin() and end() are
// O(log tallies).

#include "dragonflylane/RolloutReport.h"

#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace dragonflylane {

class RoutingTable;

/// Identifies the tally in which a request is counted; zero: it is not counted.
using RolloutAttemptId = StrongNumber<struct RolloutAttemptIdTag>;

enum class RolloutOutcome : uint8_t {
    /// The upstream answered, or did not within the time of the request. Slow if it took long.
    Answered,
    Failed,
    /// Tells nothing about the version.
    Unanswered,
};

class RolloutRecorder {
public:
    RolloutRecorder(HostId self, uint64_t process);

    /// Starts to count for roll-outs that have begun, and forgets the counts of those that have ended.
    void setRoutingTable(const RoutingTable&);
    RolloutAttemptId begin(const ServiceName&, const UpstreamVersion&, uint64_t routeKey);
    void end(RolloutAttemptId, RolloutOutcome, Duration runTime);
    /// All counts, numbered; empty if no roll-out is running.
    std::optional<RolloutReport> report();

    static constexpr size_t maxTallies = 512;
    /// An answer is slow if it took longer than this many times the mean of the other versions on the same route.
    static constexpr double slowFactor = 2.5;
    /// Answers of the other versions before which none counts as slow.
    static constexpr uint64_t minAnswersForMean = 10;

private:
    struct Key {
        ServiceName service;
        bool isTarget { false };
        uint64_t routeKey { 0 };

        auto operator<=>(const Key&) const = default; // NOLINT(modernize-use-nullptr)
    };
    struct Tally {
        Key key;
        RolloutCounts counts;
        /// Exponentially weighted mean of the run times of answers, in microseconds.
        double meanRunTime { 0 };
        uint64_t meanAnswers { 0 };
    };

    bool isSlow(const Key&, Duration runTime) const;
    const Tally* findTally(const Key&) const;

    HostId m_self;
    uint64_t m_process;
    uint64_t m_reports { 0 };
    uint64_t m_nextId { 1 };
    std::map<ServiceName, UpstreamVersion> m_targets;
    std::map<Key, RolloutAttemptId> m_ids;
    std::unordered_map<RolloutAttemptId, Tally> m_tallies;
};

} // namespace dragonflylane
