#pragma once

// Authentication of operators, who may change the configuration. They present a bearer token; the plan, its
// confirmation and the journal record the operator's name.

#include "dragonflylane/Ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace dragonflylane {

/// Operator names and tokens, read from a file with one "name token" pair per line; lines that begin with # are
/// comments.
class Operators {
public:
    /// Without a file, which is allowed on loopback only, every client is authenticated as the operator `local`.
    Operators() = default;

    /// Returns FileUnreadable, or SettingInvalid for a line that is not a name and a token of at least 16 characters,
    /// or that repeats a name or token. The detail gives the line number.
    static std::error_code readFile(const std::string& path, Operators&, std::string& detail);

    /// Returns the operator with the token of this Authorization header, or nullopt if it is missing or unknown.
    std::optional<OperatorName> authenticate(std::string_view authorization) const;

private:
    struct Entry {
        OperatorName name;
        std::string token;
    };

    bool m_acceptsAnyClient { true };
    std::vector<Entry> m_entries;
};

} // namespace dragonflylane
