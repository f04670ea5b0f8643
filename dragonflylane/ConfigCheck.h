#pragma once

// Finds entries of a valid configuration that have no effect, and limits that contradict each other. The daemons accept
// such a configuration; an operator most likely did not mean it. Contains no I/O.
//
//     for (const ConfigFinding& finding : checkConfiguration(state)) ...

#include "dragonflylane/ConfigState.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonflylane {

enum class FindingKind : uint8_t {
    /// The daemons refuse the configuration.
    Error,
    /// No request ever matches the entry.
    NeverMatches,
    /// Two limits of which one makes the other useless.
    Contradiction,
};

/// Name for messages and JSON: "error", "never_matches", "contradiction".
std::string_view name(FindingKind);

struct ConfigFinding {
    FindingKind kind { FindingKind::Error };
    /// Empty name and kind Service if the finding is about no single item.
    ItemKey item;
    std::string text;

    bool operator==(const ConfigFinding&) const = default;
};

/// Findings in the order of the items. An invalid configuration has one finding, the first error that validate()
/// reports. O(items).
std::vector<ConfigFinding> checkConfiguration(const ConfigState&);

} // namespace dragonflylane
