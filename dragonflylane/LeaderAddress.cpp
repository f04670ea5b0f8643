#include "dragonflylane/LeaderAddress.h"

#include <algorithm>

namespace dragonflylane {

void LeaderAddress::setControlHosts(std::vector<HostId> hosts)
{
    if (std::find(hosts.begin(), hosts.end(), m_leader) == hosts.end())
        m_leader = {};
    m_controlHosts = std::move(hosts);
}

HostId LeaderAddress::target(TimePoint now)
{
    if (!m_leader.isEmpty() && now - m_answeredAt < answerLifetime)
        return m_leader;
    m_leader = {};
    if (m_controlHosts.empty())
        return {};
    return m_controlHosts[m_next++ % m_controlHosts.size()];
}

void LeaderAddress::answered(const HostId& host, TimePoint now)
{
    m_leader = host;
    m_answeredAt = now;
}

} // namespace dragonflylane
