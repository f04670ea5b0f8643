#pragma once

// Compresses frequent HTTP header names and values between daemons with a static table.
//
//     std::string name = compressHeaderName("Content-Type");       // one byte
//     std::optional<std::string> again = expandHeaderName(name);
//
// The short form is one byte below 32. Such bytes occur in no header name or value, so texts that are not in the table
// are sent unchanged. This is like the static table of HPACK (RFC 7541). There is no dynamic table, because frames in
// different lanes of a link can overtake each other and would update its state in the wrong order. New entries must be
// added at the end, because daemons of two versions run side by side during an upgrade.

#include <optional>
#include <string>
#include <string_view>

namespace dragonflylane {

std::string compressHeaderName(std::string_view name);
std::string compressHeaderValue(std::string_view value);
/// Returns nullopt for a short form that this version does not know.
std::optional<std::string> expandHeaderName(std::string_view);
std::optional<std::string> expandHeaderValue(std::string_view);

} // namespace dragonflylane
