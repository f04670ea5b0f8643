#pragma once

// Decides at the leader of the log which hosts keep duplicate records.
//
// Every change of the view makes keepers copy records, so a host is replaced only after it has been gone for a while,
// and new hosts are added only while the view is small.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/MemberRecord.h"

#include <map>
#include <optional>
#include <set>

namespace dragonflylane {

struct KeeperPlannerOptions {
    size_t maxHosts { 64 };
    /// Restarts are shorter than this.
    Duration replaceAfter { std::chrono::seconds(30) };
    /// The first view waits until the members have found one another.
    Duration settleTime { std::chrono::seconds(1) };
    /// At most one host changes in this time, so that copies of records finish between two changes.
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
    /// The view to propose, or nothing if the current one stands. Called about once a second.
    std::optional<KeeperViewItem> next(
        const std::map<HostId, MemberRecord>&, const KeeperViewItem* current, TimePoint now);

private:
    std::optional<KeeperViewItem> firstView(const std::map<HostId, MemberRecord>&, TimePoint now);
    std::optional<KeeperHost> longGone(const std::map<HostId, MemberRecord>&, const KeeperViewItem&, TimePoint now);

    KeeperPlannerOptions m_options;
    std::optional<TimePoint> m_leaderSince;
    std::optional<TimePoint> m_changedAt;
    std::map<HostId, TimePoint> m_goneSince;
    size_t m_memberCount { 0 };
    TimePoint m_membersStableSince;
};

} // namespace dragonflylane
