#include "dragonflylane/RoutingTableTask.h"

#include "dragonflylane/MemberRecord.h"

#include <boost/asio/post.hpp>

namespace dragonflylane {

std::optional<UpstreamEntry> upstreamEntry(const MemberRecord& record)
{
    if (!record.isPresent() || !record.upstream)
        return std::nullopt;
    const UpstreamRecord& upstream = *record.upstream;
    return UpstreamEntry { .id = upstream.id,
        .owner = record.host,
        .service = upstream.service,
        .dataCentre = record.dataCentre,
        .incarnation = upstream.incarnation,
        .slots = upstream.slots,
        .phase = upstream.phase,
        .version = upstream.version };
}

RoutingTableTask::RoutingTableTask(boost::asio::io_context& context, Published published, Conflict conflict)
    : m_context(context)
    , m_published(std::move(published))
    , m_conflict(std::move(conflict))
    , m_routingTable(m_builder.build())
{
}

void RoutingTableTask::setState(const ConfigState& state)
{
    m_builder.setState(state);
    scheduleBuild();
}

void RoutingTableTask::setMember(const HostId& host, const std::optional<MemberRecord>& record)
{
    std::optional<UpstreamEntry> entry = record ? upstreamEntry(*record) : std::nullopt;
    for (const UpstreamConflict& conflict : m_builder.update(host, std::move(entry)))
        m_conflict(conflict);
    scheduleBuild();
}

void RoutingTableTask::scheduleBuild()
{
    if (m_isBuildScheduled)
        return;
    m_isBuildScheduled = true;
    boost::asio::post(m_context, [this] {
        m_isBuildScheduled = false;
        auto routingTable = m_builder.build();
        if (routingTable == m_routingTable)
            return;
        m_routingTable = std::move(routingTable);
        m_published(m_routingTable);
    });
}

} // namespace dragonflylane
