#pragma once

// Position of a daemon in the distribution tree. Each daemon computes it from the live members, without a coordinator.
//
//     TreeIndex index(self);
//     if (index.update(member))
//         relay.setCandidates(index.position().candidates, index.position().level, now);
//
// Control hosts are level 0. In each data centre the other members, ordered by the hash of their id, fill level 1,
// level 2 (`fanOut` times wider) and so on. Level 1 is as wide as the control hosts can serve, so that a small fleet
// has no relays: control hosts are dedicated to this task, while a relay shares its link with calls. A parent is always
// at a lower level than its child, except that a level-1 member may fall back to a level-1 member of another data
// centre. Members with equal views therefore form no loops below level 1. `Relay` dissolves loops that differing views
// cause.

#include "dragonflylane/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace dragonflylane {

/// The attributes of a live member that determine the tree.
struct TreeMember {
    HostId host;
    DataCentreName dataCentre;
    RegionName region;
    bool isControl { false };

    bool operator==(const TreeMember&) const = default;
};

/// A host that a daemon may attach to as its parent.
struct ParentCandidate {
    HostId host;
    DataCentreName dataCentre;
    bool isControl { false };

    bool operator==(const ParentCandidate&) const = default;
};

struct TreeOptions {
    /// Minimum number of level-1 members in each data centre. The number is larger if the control hosts can serve more.
    unsigned minLevelOneMembers { 2 };
    /// Children that each control host serves when all control hosts are live, so that a fleet of a few hundred hosts
    /// has no relays: a relay on a slow link takes as long for one child as a control host takes for all of its
    /// children.
    unsigned controlChildren { 64 };
    unsigned fanOut { 8 };
    /// Candidates in the own data centre, tried first.
    unsigned primaryCandidates { 2 };
    /// Candidates in other data centres, one for each data centre.
    unsigned remoteCandidates { 2 };
    /// Further candidates in the own data centre, tried after those in others.
    unsigned secondaryCandidates { 2 };
    /// Control hosts at the end of the list.
    unsigned controlCandidates { 5 };
};

/// Level (0 for control hosts) and parent candidates, the preferred one first.
struct TreePosition {
    unsigned level { 0 };
    std::vector<ParentCandidate> candidates;

    bool operator==(const TreePosition&) const = default;
};

/// Computes the position from scratch in O(n log n). A host that is not among the members gets level 1 and only control
/// hosts as candidates. Reference implementation for TreeIndex.
TreePosition treePosition(const std::vector<TreeMember>&, const HostId& self, const TreeOptions& = {});

/// Maintains the position incrementally. A change costs O(log n) plus a memmove within one data centre. The candidates
/// are recomputed, in O(width of the level above), only if the change can affect them.
class TreeIndex {
public:
    explicit TreeIndex(HostId self, TreeOptions = {});

    /// Adds a member or replaces its attributes. Returns whether the own position changed.
    bool update(const TreeMember&);
    /// Removes a member. Returns whether the own position changed.
    bool remove(const HostId&);
    const TreePosition& position() const { return m_position; }
    /// Computes the position of any host in this view, in O(width of the level above it).
    TreePosition positionOf(const HostId&) const;
    size_t size() const { return m_members.size(); }

private:
    struct Entry {
        uint64_t hash { 0 };
        HostId host;

        // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
        auto operator<=>(const Entry&) const = default; // NOLINT(modernize-use-nullptr)
    };
    /// Members of one data centre without control hosts, ordered by hash.
    struct DataCentre {
        RegionName region;
        std::vector<Entry> entries;
    };

    void insert(const TreeMember&);
    void erase(const TreeMember&);
    bool affectsPosition(const TreeMember&) const;
    bool refresh();
    /// Data centres that the member falls back to, in its order of preference.
    std::vector<DataCentreName> fallbackDataCentres(const TreeMember& own) const;
    std::vector<ParentCandidate> remoteCandidates(const TreeMember& own, unsigned level) const;
    /// The options with the width of level 1 that the control hosts can serve.
    TreeOptions effectiveOptions() const;
    std::vector<ParentCandidate> controlCandidates(const DataCentreName& own, uint64_t childHash) const;
    /// The hosts with the highest weights for a child among the entries [begin, end).
    std::vector<ParentCandidate> highestWeighted(
        const std::vector<Entry>&, size_t begin, size_t end, uint64_t childHash, size_t limit) const;

    HostId m_self;
    TreeOptions m_options;
    std::map<HostId, TreeMember> m_members;
    std::map<DataCentreName, DataCentre> m_dataCentres;
    std::vector<Entry> m_control;
    TreePosition m_position;
    /// Other data centres whose members are among the candidates.
    std::vector<DataCentreName> m_fallbackDataCentres;
};

} // namespace dragonflylane
