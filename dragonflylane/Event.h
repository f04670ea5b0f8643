#pragma once

// Structured log lines: one line of key=value pairs per event.
//
//     Event("plan_confirmed").with("plan", planId).with("revision", revision);
//
// The line is written when the Event goes out of scope. Values with spaces, quotes or line breaks are quoted, so that
// untrusted values cannot forge log lines.

#include "dragonflylane/Strong.h"

#include <concepts>
#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// Severity of a log line.
enum class EventLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Builder of one log line.
class Event {
public:
    explicit Event(std::string_view name, EventLevel = EventLevel::Info);
    ~Event();
    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;

    Event& with(std::string_view key, std::string_view value);
    Event& with(std::string_view key, const char* value) { return with(key, std::string_view(value)); }
    Event& with(std::string_view key, const std::error_code&);
    template <std::integral T> Event& with(std::string_view key, T value) { return with(key, std::to_string(value)); }
    template <typename Tag> Event& with(std::string_view key, const StrongString<Tag>& value)
    {
        return with(key, std::string_view(value.value()));
    }
    template <typename Tag> Event& with(std::string_view key, const StrongNumber<Tag>& value)
    {
        return with(key, std::to_string(value.value()));
    }

private:
    EventLevel m_level;
    std::string m_line;
};

/// Sets the lowest level that is written: "debug", "info", "warning" or "error".
bool setLogLevel(std::string_view level);

} // namespace dragonflylane
