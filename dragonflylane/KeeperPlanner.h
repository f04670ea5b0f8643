#pragma once

// Decides at the leader of the replicated log which hosts are keepers, i.e. store idempotency records.
//
// Every change of the keeper view causes records to be copied between keepers, so a host is replaced only after it has
// been absent for some time, and hosts are added only while the view is below its maximum size.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/MemberRecord.h"

#include <map>
#include <optional>
#include <set>

namespace dragonflylane {

struct KeeperPlannerOptions {
    size_t maxHosts { 64 };
    /// An absent keeper is replaced after this time, which is longer than a restart takes.
    Duration replaceAfter { std::chrono::seconds(30) };
    /// The first view is proposed once the number of members has been unchanged, and this host has been leader, for
    /// this time, so that the members have discovered one another.
    Duration settleTime { std::chrono::seconds(1) };
    /// At most one host changes in this time, so that the records are copied before the next change.
    Duration changeInterval { std::chrono::seconds(30) };
};

/// One instance at each control host; reset when it is not the leader.
class KeeperPlanner {
public:
    explicit KeeperPlanner(KeeperPlannerOptions options = {})
        : m_options(options)
    {
    }

    void reset();
    /// Returns the view to propose, or nothing if the current one need not change. Call this about once a second.
    std::optional<KeeperViewItem> proposeView(
        const std::map<HostId, MemberRecord>&, const KeeperViewItem* current, TimePoint now);

private:
    std::optional<KeeperViewItem> firstView(const std::map<HostId, MemberRecord>&, TimePoint now);
    std::optional<KeeperHost> longestAbsent(
        const std::map<HostId, MemberRecord>&, const KeeperViewItem&, TimePoint now);

    KeeperPlannerOptions m_options;
    std::optional<TimePoint> m_leaderSince;
    std::optional<TimePoint> m_changedAt;
    std::map<HostId, TimePoint> m_absentSince;
    size_t m_memberCount { 0 };
    TimePoint m_membersStableSince;
};

} // namespace dragonflylane
