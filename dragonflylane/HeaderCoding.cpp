#include "dragonflylane/HeaderCoding.h"

#include <algorithm>
#include <array>
#include <span>

namespace dragonflylane {

namespace {

    // Bytes from here on occur in names and values. Values may also contain a horizontal tab (9), so that its table
    // entry stays unused.
    constexpr unsigned char firstPlainByte = 32;
    constexpr std::string_view unused {};

    constexpr std::array<std::string_view, 12> names { "Host", "User-Agent", "Accept", "Accept-Encoding",
        "Content-Type", "Content-Length", "Date", "Server", unused, "Cache-Control", "ETag", "Retry-After" };
    constexpr std::array<std::string_view, 12> values { "*/*", "identity", "application/octet-stream",
        "application/json", "text/plain", "text/html", "gzip, deflate", "gzip", unused, "no-cache", "no-store", "en" };

    std::string shortForm(std::string_view text, std::span<const std::string_view> table)
    {
        auto found = text.empty() ? table.end() : std::find(table.begin(), table.end(), text);
        if (found == table.end())
            return std::string(text);
        return { static_cast<char>(found - table.begin() + 1) };
    }

    std::optional<std::string> longForm(std::string_view text, std::span<const std::string_view> table)
    {
        bool isShort = text.size() == 1 && static_cast<unsigned char>(text[0]) < firstPlainByte && text[0] != '\t';
        if (!isShort)
            return std::string(text);
        size_t position = static_cast<unsigned char>(text[0]);
        if (position == 0 || position > table.size())
            return std::nullopt;
        return std::string(table[position - 1]);
    }

} // namespace

std::string compressHeaderName(std::string_view name)
{
    return shortForm(name, names);
}

std::string compressHeaderValue(std::string_view value)
{
    return shortForm(value, values);
}

std::optional<std::string> expandHeaderName(std::string_view name)
{
    return longForm(name, names);
}

std::optional<std::string> expandHeaderValue(std::string_view value)
{
    return longForm(value, values);
}

} // namespace dragonflylane
