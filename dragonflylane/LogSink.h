#pragma once

// Log sink that never blocks, even if nobody reads the output.
//
// A line is written only if the descriptor accepts it immediately. Otherwise it is dropped and counted, and the next
// line that can be written is preceded by a line with the count. Lines are truncated to PIPE_BUF bytes, which a pipe
// accepts atomically.

#include <cstddef>
#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace dragonflylane {

/// Sink for one file descriptor, which it does not close. Not thread-safe.
class LogSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    explicit LogSink(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    uint64_t dropped() const { return m_droppedTotal; }

protected:
    void sink_it_(const spdlog::details::log_msg&) override; // NOLINT(readability-identifier-naming)
    void flush_() override { } // NOLINT(readability-identifier-naming)

private:
    bool write(const char* text, size_t length);

    int m_descriptor;
    /// Lines dropped since the last report of dropped lines.
    uint64_t m_dropped { 0 };
    /// Lines dropped since construction.
    uint64_t m_droppedTotal { 0 };
};

} // namespace dragonflylane
