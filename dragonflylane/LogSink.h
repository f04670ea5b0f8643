#pragma once

// Writes log lines to standard output without ever waiting for its reader.
//
// A line is written only if the descriptor takes it at once; otherwise it is dropped and counted, and the next line
// that gets through is preceded by one that states the count. Lines are cut at the length that a pipe takes in one
// piece.

#include <cstddef>
#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace dragonflylane {

/// Sink for one file descriptor, which stays open. Used by one thread.
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
    /// Lines dropped since the last one that was written, and since the start.
    uint64_t m_dropped { 0 };
    uint64_t m_droppedTotal { 0 };
};

} // namespace dragonflylane
