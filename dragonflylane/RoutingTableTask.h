#pragma once

// Keeps the routing table of this daemon up to date with the configuration and the upstreams that members announce.

#include "dragonflylane/RoutingTableBuilder.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

struct MemberRecord;

/// The upstream that a member announces; nothing if the member is not present or announces none.
std::optional<UpstreamEntry> upstreamEntry(const MemberRecord&);

/// Owns the builder. Changes that arrive in the same iteration of the event loop are combined into one routing table.
class RoutingTableTask {
public:
    using Published = std::function<void(const std::shared_ptr<const RoutingTable>&)>;
    /// Called if two hosts announce the same upstream id.
    using Conflict = std::function<void(const UpstreamConflict&)>;

    RoutingTableTask(boost::asio::io_context&, Published, Conflict);

    void setState(const ConfigState&);
    void setMember(const HostId&, const std::optional<MemberRecord>&);

    const std::shared_ptr<const RoutingTable>& routingTable() const { return m_routingTable; }
    std::vector<UpstreamConflict> conflicts() const { return m_builder.conflicts(); }

private:
    void scheduleBuild();

    boost::asio::io_context& m_context;
    Published m_published;
    Conflict m_conflict;
    RoutingTableBuilder m_builder;
    std::shared_ptr<const RoutingTable> m_routingTable;
    bool m_isBuildScheduled { false };
};

} // namespace dragonflylane
