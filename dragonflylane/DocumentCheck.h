#pragma once

// Report on a configuration document that has not been sent: errors, entries without effect, limits that contradict
// each other, and what differs from the configuration in force. The checks are those of the daemons and
// checkConfiguration().

#include "dragonflylane/ConfigCheck.h"

#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

/// A document, read into items.
struct CheckedDocument {
    std::string text;
    /// The configuration after the document has been applied.
    ConfigState state;
    /// First error of the reader, with which the state has no meaning; empty if the document could be read.
    std::string error;
    /// Array and index in the text of the entry that sets an item.
    struct Place {
        std::string array;
        size_t index { 0 };
    };
    std::map<ItemKey, Place> places;
};

/// Exit codes for scripts.
enum class CheckResult : int {
    Clean = 0,
    Findings = 1,
    Unreadable = 2,
};

struct CheckReport {
    CheckResult result { CheckResult::Clean };
    std::string text;
    std::string json;
};

/// `base` is the configuration in force, if the operator named one.
CheckReport reportOn(const CheckedDocument&, const std::optional<ConfigState>& base);

/// Reads a document of the project's own format (PlanJson) and applies it to the base.
CheckedDocument readPlanDocument(std::string text, const ConfigState& base);

} // namespace dragonflylane
