#pragma once

// Builds routing tables from a configuration and announced upstreams, incrementally: after the change of one upstream,
// a new routing table costs O(services + upstreams of the service) and shares all other services with the previous one.
//
//     builder.setState(state);
//     builder.update(host, entry);
//     std::shared_ptr<const RoutingTable> routingTable = builder.build();

#include "dragonflylane/ConfigState.h"
#include "dragonflylane/RoutingTable.h"

#include <map>
#include <set>

namespace dragonflylane {

/// Two hosts announce the same upstream id. The entry with the higher incarnation is used. If the incarnations are
/// equal, it is the entry of the host whose id sorts first, so that all daemons select the same one.
struct UpstreamConflict {
    UpstreamId id;
    HostId used;
    HostId ignored;

    auto operator<=>(const UpstreamConflict&) const = default;
    bool operator==(const UpstreamConflict&) const = default;
};

/// Incremental builder of routing tables. Not thread-safe.
class RoutingTableBuilder {
public:
    RoutingTableBuilder();

    /// Sets the configuration, which must pass validate().
    void setState(const ConfigState&);
    /// Replaces the upstream that a host announces, or removes it if there is no entry. Returns the conflicts over the
    /// id of the new entry.
    std::vector<UpstreamConflict> update(const HostId& owner, std::optional<UpstreamEntry>);
    /// Replaces the upstreams of all hosts, identified by the entries' owners. Returns all conflicts.
    std::vector<UpstreamConflict> setUpstreams(const std::vector<UpstreamEntry>&);
    /// All current conflicts, ordered.
    std::vector<UpstreamConflict> conflicts() const;

    /// Returns the current routing table, which is the same object as before if nothing changed.
    std::shared_ptr<const RoutingTable> build();

private:
    /// All announcements of one upstream id by host, and the selected one.
    struct Announcements {
        std::map<HostId, UpstreamEntry> byOwner;
        UpstreamEntry selected;
        bool hasSelected { false };
    };

    void removeAnnouncement(const HostId& owner);
    void selectAnnouncement(const UpstreamId&);
    std::shared_ptr<const RoutingTable::Tables> buildTables() const;
    std::shared_ptr<const ServiceEntry> buildService(const ServiceItem&) const;
    void appendConflicts(const UpstreamId&, std::vector<UpstreamConflict>*) const;

    ConfigState m_state;
    std::map<HostId, UpstreamId> m_announcedIds;
    std::map<UpstreamId, Announcements> m_announcements;
    std::unordered_map<ServiceName, std::set<UpstreamId>> m_idsByService;
    std::unordered_set<ServiceName> m_changedServices;
    bool m_isStateChanged { true };
    std::unordered_map<ServiceName, std::shared_ptr<const ServiceEntry>> m_services;
    std::shared_ptr<const RoutingTable> m_routingTable;
};

} // namespace dragonflylane
