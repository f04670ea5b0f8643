#include "dragonflylane/RequestRate.h"

#include <cstdio>

namespace dragonflylane {

std::string toText(const std::optional<RequestRate>& rate)
{
    if (!rate)
        return "none";
    char text[32];
    std::snprintf(text, sizeof(text), "%.6g", rate->perSecond);
    return text;
}

} // namespace dragonflylane
