#include "dragonflylane/RolloutJson.h"

#include <boost/json.hpp>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    constexpr double millisecondsPerSecond = 1000;

    std::string text(const json::object& object, const char* key)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_string() ? std::string(value->as_string()) : std::string();
    }

} // namespace

std::string_view name(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled_back";
    }
    return "";
}

std::optional<StartRolloutCommand> parseRolloutStart(std::string_view body)
{
    boost::system::error_code error;
    json::value document = json::parse(body, error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::value* duration = object ? object->if_contains("durationMs") : nullptr;
    if (!duration || !duration->is_number())
        return std::nullopt;
    auto time = rolloutDuration(duration->to_number<double>() / millisecondsPerSecond);
    if (!time)
        return std::nullopt;
    return StartRolloutCommand { .service = ServiceName(text(*object, "service")),
        .target = UpstreamVersion(text(*object, "version")),
        .duration = *time };
}

std::string renderRollout(const RolloutItem& item)
{
    return json::serialize(json::object { { "service", item.service.value() }, { "version", item.target.value() },
               { "state", name(item.state) }, { "sharePermille", item.sharePermille },
               { "durationMs", item.duration.count() }, { "elapsedMs", item.elapsed.count() } })
        + "\n";
}

} // namespace dragonflylane
