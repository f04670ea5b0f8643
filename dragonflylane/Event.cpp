#include "dragonflylane/Event.h"

#include "dragonflylane/LogSink.h"
#include "dragonflylane/ResultCode.h"

#include <cstdio>
#include <memory>
#include <spdlog/logger.h>
#include <unistd.h>

namespace dragonflylane {

namespace {

    spdlog::logger& logger()
    {
        static const auto instance = [] {
            auto created = std::make_shared<spdlog::logger>("dragonflylane", std::make_shared<LogSink>(STDOUT_FILENO));
            created->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
            return created;
        }();
        return *instance;
    }

    spdlog::level::level_enum toSpdlog(EventLevel level)
    {
        switch (level) {
        case EventLevel::Debug:
            return spdlog::level::debug;
        case EventLevel::Info:
            return spdlog::level::info;
        case EventLevel::Warning:
            return spdlog::level::warn;
        case EventLevel::Error:
            return spdlog::level::err;
        }
        return spdlog::level::info;
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
    }

    void appendEscaped(std::string& line, char c)
    {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
            return;
        }
        constexpr unsigned char firstPrintable = 0x20;
        if (static_cast<unsigned char>(c) >= firstPrintable) {
            line += c;
            return;
        }
        char escaped[5];
        std::snprintf(escaped, sizeof(escaped), "\\x%02x", static_cast<unsigned char>(c));
        line += escaped;
    }

} // namespace

Event::Event(std::string_view name, EventLevel level)
    : m_level(level)
    , m_line("event=")
{
    m_line += name;
}

Event::~Event()
{
    logger().log(toSpdlog(m_level), m_line);
}

Event& Event::with(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    if (!needsQuotes(value)) {
        m_line += value;
        return *this;
    }
    m_line += '"';
    for (char c : value)
        appendEscaped(m_line, c);
    m_line += '"';
    return *this;
}

Event& Event::with(std::string_view key, const std::error_code& error)
{
    if (error.category() == resultCategory())
        return with(key, name(resultCode(error)));
    return with(key, std::string_view(error.message()));
}

bool setLogLevel(std::string_view level)
{
    static constexpr struct {
        std::string_view name;
        spdlog::level::level_enum value;
    } levels[] = {
        { "debug", spdlog::level::debug },
        { "info", spdlog::level::info },
        { "warning", spdlog::level::warn },
        { "error", spdlog::level::err },
    };
    for (const auto& known : levels) {
        if (known.name == level) {
            logger().set_level(known.value);
            return true;
        }
    }
    return false;
}

} // namespace dragonflylane
