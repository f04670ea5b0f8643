#include "dragonflylane/TenantCounters.h"

#include "dragonflylane/RoutingTable.h"

#include <algorithm>
#include <limits>

namespace dragonflylane {

namespace {

    double allotmentOf(const TenantEntry& tenant)
    {
        bool isUnlimited = tenant.ratePerSecond == 0;
        return isUnlimited ? std::numeric_limits<double>::infinity() : tenant.ratePerSecond;
    }

    void add(TenantCounts& counts, const TenantCounts& more)
    {
        counts.served += more.served;
        counts.refused += more.refused;
        counts.overAllotment += more.overAllotment;
    }

    std::string line(const std::string& counter, const std::string& tenant, uint64_t value)
    {
        return value == 0 ? std::string() : counter + '.' + tenant + ' ' + std::to_string(value) + '\n';
    }

    std::string renderCounts(const std::string& tenant, const TenantCounts& counts)
    {
        return line("tenant_asked", tenant, counts.asked()) + line("tenant_served", tenant, counts.served)
            + line("tenant_refused", tenant, counts.refused)
            + line("tenant_over_allotment", tenant, counts.overAllotment);
    }

} // namespace

void TenantCounters::setTenants(const std::vector<TenantEntry>& tenants)
{
    std::vector<const TenantEntry*> largest;
    largest.reserve(tenants.size());
    for (const TenantEntry& tenant : tenants)
        largest.push_back(&tenant);
    std::stable_sort(largest.begin(), largest.end(),
        [](const TenantEntry* left, const TenantEntry* right) { return allotmentOf(*left) > allotmentOf(*right); });
    largest.resize(std::min(largest.size(), m_options.maxNamed));

    std::map<TenantName, TenantCounts> named;
    for (const TenantEntry* tenant : largest) {
        auto known = m_named.extract(tenant->name);
        named.emplace(tenant->name, known ? known.mapped() : TenantCounts());
    }
    for (const auto& [name, counts] : m_named)
        add(m_others, counts);
    m_named = std::move(named);
}

void TenantCounters::count(const TenantName& tenant, ResultCode code)
{
    if (tenant.isEmpty())
        return;
    auto found = m_named.find(tenant);
    TenantCounts& counts = found == m_named.end() ? m_others : found->second;
    if (code == ResultCode::Ok)
        ++counts.served;
    else if (code == ResultCode::AllotmentExceeded)
        ++counts.overAllotment;
    else
        ++counts.refused;
}

std::string TenantCounters::render() const
{
    std::string text;
    for (const auto& [name, counts] : m_named)
        text += renderCounts(name.value(), counts);
    return text + renderCounts("(others)", m_others);
}

} // namespace dragonflylane
