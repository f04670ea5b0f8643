#pragma once

// Position of a daemon in the distribution tree, computed from the live members without any assignment by a centre.
//
//     TreeIndex index(self);
//     if (index.update(member))
//         relay.setCandidates(index.position().candidates, index.position().level, now);
//
// Control hosts are level 0. In each data centre the other members, ordered by the hash of their id, fill level 1
// (its heads), level 2 (`fanOut` times wider) and so on. A data centre has as many heads as the control hosts can feed,
// so that a small fleet has no relays: control hosts are set aside for the work, while a relay shares its link with
// calls. A parent is always at a lower level than its
// child, except that a head may fall back to a head of another data centre. Members with the same view therefore build
// no loop below the heads; `Relay` leaves those that differing views cause.

#include "dragonflylane/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace dragonflylane {

/// A live member as far as the tree is concerned.
struct TreeMember {
    HostId host;
    DataCentreName dataCentre;
    RegionName region;
    bool isControl { false };

    bool operator==(const TreeMember&) const = default;
};

/// A host to ask for a parent session.
struct ParentCandidate {
    HostId host;
    DataCentreName dataCentre;
    bool isControl { false };

    bool operator==(const ParentCandidate&) const = default;
};

struct TreeOptions {
    /// The least number of heads; more if the control hosts can feed them.
    unsigned headsPerDataCentre { 2 };
    /// Children that each control host feeds when all are live, so that a fleet of some hundred hosts has no relays: a
    /// relay on a slow link needs as long for each of its children as a control host for all of its own.
    unsigned controlChildren { 64 };
    unsigned fanOut { 8 };
    /// Candidates in the own data centre before the first one in another.
    unsigned primaryCandidates { 2 };
    /// Candidates in other data centres, one in each.
    unsigned foreignCandidates { 2 };
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

/// Computes the position from scratch in O(n log n). A host that is not among the members gets level 1 and the control
/// hosts only. Reference for TreeIndex.
TreePosition treePosition(const std::vector<TreeMember>&, const HostId& self, const TreeOptions& = {});

/// Keeps the position up to date. A change costs O(log n) plus a memmove within one data centre; the candidates are
/// computed again, in O(width of the level above), only if the change can affect them.
class TreeIndex {
public:
    explicit TreeIndex(HostId self, TreeOptions = {});

    /// Adds a member or replaces its attributes. True if the own position changed.
    bool update(const TreeMember&);
    /// True if the own position changed.
    bool remove(const HostId&);
    const TreePosition& position() const { return m_position; }
    /// Position of any host under this view, in O(width of the level above it).
    TreePosition positionOf(const HostId&) const;
    size_t size() const { return m_members.size(); }

private:
    struct Entry {
        uint64_t hash { 0 };
        HostId host;

        // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
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
    /// Data centres that the host falls back to, in its order of preference.
    std::vector<DataCentreName> foreignOrder(const TreeMember& own) const;
    std::vector<ParentCandidate> foreignCandidates(const TreeMember& own, unsigned level) const;
    /// The options with the number of heads that the control hosts can feed.
    TreeOptions widenedOptions() const;
    std::vector<ParentCandidate> controlCandidates(const DataCentreName& own, uint64_t childHash) const;
    /// The hosts with the highest weights for a child among the ranks [begin, end).
    std::vector<ParentCandidate> best(
        const std::vector<Entry>&, size_t begin, size_t end, uint64_t childHash, size_t limit) const;

    HostId m_self;
    TreeOptions m_options;
    std::map<HostId, TreeMember> m_members;
    std::map<DataCentreName, DataCentre> m_dataCentres;
    std::vector<Entry> m_control;
    TreePosition m_position;
    /// Data centres whose members are among the candidates.
    std::vector<DataCentreName> m_foreign;
};

} // namespace dragonflylane
