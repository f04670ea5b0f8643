#pragma once

// Runs an event loop that survives exceptions thrown by its handlers.
//
// Modules report errors by codes, so an exception that reaches the loop is a bug. It usually concerns only the message
// or timer being handled, while terminating the process would break all calls in progress. Frequent exceptions suggest
// that shared state is corrupt; the process then terminates so that its supervisor restarts it.

#include "dragonflylane/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>

namespace dragonflylane {

struct GuardedRunOptions {
    /// Exceptions caught within one window; the next one is rethrown.
    unsigned maxExceptions { 20 };
    Duration window { std::chrono::seconds(10) };
    /// Called with each exception that is not rethrown.
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
