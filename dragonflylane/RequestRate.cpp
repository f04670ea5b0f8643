#include "dragonflylane/RequestRate.h"

#include <cmath>
#include <cstdio>

namespace dragonflylane {

std::optional<RequestRate> toRequestRate(double perSecond)
{
    if (!std::isfinite(perSecond) || perSecond < 0)
        return std::nullopt;
    return RequestRate { perSecond };
}

std::string toText(const std::optional<RequestRate>& rate)
{
    if (!rate)
        return "none";
    char text[32];
    std::snprintf(text, sizeof(text), "%.6g", rate->perSecond);
    return text;
}

} // namespace dragonflylane
