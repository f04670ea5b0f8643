#include "dragonflylane/UpstreamLoad.h"

#include <charconv>

namespace dragonflylane {

namespace {

    constexpr uint32_t maxSlownessPercent = 100'000;

    // Removes the first number and the comma after it from the text.
    std::optional<uint32_t> takeNumber(std::string_view& text)
    {
        uint32_t number = 0;
        const char* last = text.data() + text.size();
        auto [end, error] = std::from_chars(text.data(), last, number);
        if (error != std::errc())
            return std::nullopt;
        bool isSeparated = end != last && *end == ',' && end + 1 != last;
        if (end != last && !isSeparated)
            return std::nullopt;
        text.remove_prefix(static_cast<size_t>(end - text.data()) + (isSeparated ? 1 : 0));
        return number;
    }

} // namespace

std::optional<UpstreamLoad> parseUpstreamLoad(std::string_view text)
{
    auto running = takeNumber(text);
    auto waiting = takeNumber(text);
    auto slots = takeNumber(text);
    if (!running || !waiting || !slots)
        return std::nullopt;
    UpstreamLoad load { .running = *running, .waiting = *waiting, .slots = *slots };
    if (text.empty())
        return load;
    auto slowness = takeNumber(text);
    if (!slowness || !text.empty() || *slowness == 0 || *slowness > maxSlownessPercent)
        return std::nullopt;
    load.slowness = SlownessPercent(*slowness);
    return load;
}

} // namespace dragonflylane
