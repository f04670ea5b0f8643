#pragma once

// Who may change the configuration. Operators present a bearer token; the plan, its confirmation and the journal carry
// the operator's name.

#include "dragonflylane/Ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace dragonflylane {

/// Names and tokens from a file with one "name token" a line; lines that begin with # are comments.
class Operators {
public:
    /// Without a file, which is allowed on loopback only, every caller is the operator `local`.
    Operators() = default;

    /// FileUnreadable; SettingInvalid for a line that is not a name and a token of at least 16 characters, or a name or
    /// token that occurs twice. The detail names the line.
    static std::error_code readFile(const std::string& path, Operators&, std::string& detail);

    /// The operator behind an Authorization header; nothing if the token is missing or unknown.
    std::optional<OperatorName> authenticate(std::string_view authorization) const;

private:
    struct Entry {
        OperatorName name;
        std::string token;
    };

    bool m_isOpen { true };
    std::vector<Entry> m_entries;
};

} // namespace dragonflylane
