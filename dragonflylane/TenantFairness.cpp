#include "dragonflylane/TenantFairness.h"

#include <algorithm>

namespace dragonflylane {

TenantFairness::TenantFairness(TenantFairnessOptions options)
    : m_options(options)
{
}

Duration TenantFairness::enqueue(uint64_t tenantKey, Duration serviceTime)
{
    Duration tag = startTag(tenantKey);
    if (tenantKey == 0)
        return tag;
    if (!m_nextTags.contains(tenantKey) && m_nextTags.size() >= m_options.maxTenants)
        forgetIdle();
    if (m_nextTags.contains(tenantKey) || m_nextTags.size() < m_options.maxTenants)
        m_nextTags[tenantKey] = tag + std::max(serviceTime, m_options.minServiceTime);
    return tag;
}

Duration TenantFairness::startTag(uint64_t tenantKey) const
{
    auto found = m_nextTags.find(tenantKey);
    return found == m_nextTags.end() ? m_virtualTime : std::max(m_virtualTime, found->second);
}

void TenantFairness::withdrawn(uint64_t tenantKey, Duration serviceTime)
{
    auto found = m_nextTags.find(tenantKey);
    if (found != m_nextTags.end())
        found->second -= std::max(serviceTime, m_options.minServiceTime);
}

void TenantFairness::started(Duration startTag)
{
    m_virtualTime = std::max(m_virtualTime, startTag);
}

void TenantFairness::forgetIdle()
{
    std::erase_if(m_nextTags, [this](const auto& item) { return item.second <= m_virtualTime; });
}

} // namespace dragonflylane
