#pragma once

// Builds routing tables from a configuration and announced upstreams. Keeps what it built: a routing table after the
// change of one upstream costs O(services + upstreams of the service), and shares all other services with the routing
// table before.
//
//     builder.setState(state);
//     builder.update(host, entry);
//     std::shared_ptr<const RoutingTable> routingTable = builder.build();

#include "dragonflylane/ConfigState.h"
#include "dragonflylane/RoutingTable.h"

#include <map>
#include <set>

namespace dragonflylane {

/// Two hosts announce the same upstream id. The entry with the higher incarnation is used; with equal incarnations
/// the one of the host whose id sorts first, so that all daemons choose alike.
struct UpstreamConflict {
    UpstreamId id;
    HostId used;
    HostId ignored;

    auto operator<=>(const UpstreamConflict&) const = default;
    bool operator==(const UpstreamConflict&) const = default;
};

/// Incremental builder of routing tables. Owned by one task.
class RoutingTableBuilder {
public:
    RoutingTableBuilder();

    /// Takes a configuration that passes validate().
    void setState(const ConfigState&);
    /// Replaces the upstream that a host announces; nothing: it announces none. Returns the conflicts over the id of
    /// the new entry.
    std::vector<UpstreamConflict> update(const HostId& owner, std::optional<UpstreamEntry>);
    /// Replaces all upstreams; the owner is taken from each entry.
    std::vector<UpstreamConflict> setUpstreams(const std::vector<UpstreamEntry>&);
    /// All conflicts at present, ordered.
    std::vector<UpstreamConflict> conflicts() const;

    /// The current routing table; the same object as before if nothing changed.
    std::shared_ptr<const RoutingTable> build();

private:
    /// Announcements of one upstream id by host, and the one in use.
    struct Claims {
        std::map<HostId, UpstreamEntry> byOwner;
        UpstreamEntry used;
        bool inUse { false };
    };

    void withdraw(const HostId& owner);
    void resolve(const UpstreamId&);
    std::shared_ptr<const RoutingTable::Tables> buildTables() const;
    std::shared_ptr<const ServiceEntry> buildService(const ServiceItem&) const;
    void appendConflicts(const UpstreamId&, std::vector<UpstreamConflict>*) const;

    ConfigState m_state;
    std::map<HostId, UpstreamId> m_announced;
    std::map<UpstreamId, Claims> m_claims;
    std::unordered_map<ServiceName, std::set<UpstreamId>> m_byService;
    std::unordered_set<ServiceName> m_dirty;
    bool m_stateChanged { true };
    std::unordered_map<ServiceName, std::shared_ptr<const ServiceEntry>> m_services;
    std::shared_ptr<const RoutingTable> m_routingTable;
};

} // namespace dragonflylane
