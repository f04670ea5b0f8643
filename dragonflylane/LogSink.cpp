#include "dragonflylane/LogSink.h"

#include <algorithm>
#include <climits>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace dragonflylane {

void LogSink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF);
        line[PIPE_BUF - 1] = '\n';
    }
    if (m_dropped > 0) {
        char summary[64];
        int length = std::snprintf(summary, sizeof(summary), "level=warning event=log_lines_dropped count=%llu\n",
            static_cast<unsigned long long>(m_dropped));
        if (write(summary, static_cast<size_t>(length)))
            m_dropped = 0;
    }
    if (m_dropped == 0 && write(line.data(), line.size()))
        return;
    ++m_dropped;
    ++m_droppedTotal;
}

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
bool LogSink::write(const char* text, size_t length)
{
    pollfd descriptor { m_descriptor, POLLOUT, 0 };
    bool isReady = poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
    return isReady && ::write(m_descriptor, text, length) == static_cast<ssize_t>(length);
}

} // namespace dragonflylane
