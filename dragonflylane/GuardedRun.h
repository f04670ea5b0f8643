#pragma once

// Runs an event loop so that an exception in one handler ends that handler only.
//
// Modules report errors by codes, so an exception that reaches the loop is a fault of this program. It concerns the one
// message or timer that was being handled; ending the process would end the calls of everybody else. An exception in
// each of many handlers in a row shows damage that goes further, and the process ends, to be started anew.

#include "dragonflylane/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>

namespace dragonflylane {

struct GuardedRunOptions {
    /// More exceptions than this within the window are passed on to the caller.
    unsigned maxExceptions { 20 };
    Duration window { std::chrono::seconds(10) };
    std::function<void(const std::exception&)> caught;
};

/// Returns when the loop has no work left or is stopped.
inline void runGuarded(boost::asio::io_context& context, const GuardedRunOptions& options)
{
    TimePoint windowEnd;
    unsigned exceptions = 0;
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception& exception) {
            TimePoint now = BootClock::now();
            if (now >= windowEnd) {
                windowEnd = now + options.window;
                exceptions = 0;
            }
            if (++exceptions > options.maxExceptions)
                throw;
            options.caught(exception);
        }
    }
}

} // namespace dragonflylane
