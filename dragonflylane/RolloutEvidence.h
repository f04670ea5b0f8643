#pragma once

// Sums the reports of all entry daemons on the roll-out of one service, at the control leader.
//
//     RolloutEvidence evidence(service, target);
//     evidence.add(report, now);
//     evidence.score();                    // see VersionComparison
//     evidence.hasRequestsAtOthers(now);
//
// Reports are cumulative. A lost or repeated one does no harm, and a new leader gets all counts with the first report
// of each daemon. Contains no clock. O(tallies) for each report.

#include "dragonflylane/RolloutReport.h"
#include "dragonflylane/VersionComparison.h"

#include <map>
#include <unordered_map>

namespace dragonflylane {

class RolloutEvidence {
public:
    RolloutEvidence(ServiceName, UpstreamVersion target);

    void add(const RolloutReport&, TimePoint now);
    /// The highest score of a single route and of all routes together.
    double score() const;
    /// Sums over all daemons and routes.
    const RolloutCounts& target() const { return m_target; }
    const RolloutCounts& others() const { return m_others; }
    /// Answers of the target that tell something about the version.
    uint64_t targetAnswers() const { return m_target.ended - m_target.unanswered; }
    /// Whether some daemon has a request at another version than the target, or has sent one within `quietTime`.
    /// Daemons that have not reported within `reportLifetime` do not count.
    bool hasRequestsAtOthers(TimePoint now) const;

    /// Longer than two intervals between reports.
    static constexpr std::chrono::milliseconds quietTime { 500 };
    static constexpr std::chrono::milliseconds reportLifetime { 1500 };

private:
    struct TallyKey {
        bool isTarget { false };
        uint64_t routeKey { 0 };

        auto operator<=>(const TallyKey&) const = default; // NOLINT(modernize-use-nullptr)
    };
    struct Daemon {
        uint64_t process { 0 };
        uint64_t number { 0 };
        std::map<TallyKey, RolloutCounts> counts;
        TimePoint reportedAt;
        TimePoint sentToOthersAt;
    };

    bool isNewReport(const Daemon&, const RolloutReport&) const;
    /// Counts of the tally since the daemon's previous report.
    RolloutCounts takeIncrease(Daemon&, const TallyKey&, const RolloutCounts&);

    ServiceName m_service;
    UpstreamVersion m_targetVersion;
    std::unordered_map<HostId, Daemon> m_daemons;
    std::map<uint64_t, VersionComparison> m_routes;
    VersionComparison m_allRoutes;
    RolloutCounts m_target;
    RolloutCounts m_others;
};

} // namespace dragonflylane
