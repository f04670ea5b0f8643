#pragma once

// Which control host a daemon sends its messages for the control leader to.
//
//     LeaderAddress leader;
//     leader.setControlHosts(hosts);              // whenever the members change
//     hub.sendToHost(leader.target(now), kind, payload);
//     leader.answered(host, now);                 // whenever a control host has answered as the leader
//
// A daemon isn't told who leads. It asks one control host after the other until one answers; a control host that
// doesn't lead forwards the message to the leader that it knows, and the leader answers directly. All operations are
// O(1).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <vector>

namespace dragonflylane {

class LeaderAddress {
public:
    void setControlHosts(std::vector<HostId>);
    /// The host that answered last, if that was less than `answerLifetime` ago. Otherwise another control host at each
    /// call; empty if none is known.
    HostId target(TimePoint now);
    void answered(const HostId&, TimePoint now);

    static constexpr std::chrono::milliseconds answerLifetime { 700 };

private:
    std::vector<HostId> m_controlHosts;
    size_t m_next { 0 };
    HostId m_leader;
    TimePoint m_answeredAt;
};

} // namespace dragonflylane
