#pragma once

// Index of the calls that run at the local upstream by their request ids. An upstream derives the request id of a
// nested call from that of the call it is running. Such a call carries no API key: that its parent runs at this host's
// own upstream proves where it comes from, and to which tenant it belongs.
//
//     RunningCalls running;
//     running.add(callId, "6f12", parent);
//     running.find("6f12", now);    // returns the parent
//     running.remove(callId, "6f12");
//
// An upstream may go on with a call that its caller has given up, and make nested calls for it. Such calls stay in the
// index until their deadline, but no more than a limit of them: the oldest are evicted first. The size is therefore
// bounded by the calls in flight and that limit. All operations take amortised constant time.

#include "dragonflylane/ParentCall.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflylane {

struct RunningCallsOptions {
    /// Limit on the calls that were given up and may still be running.
    size_t maxAbandoned { 4096 };
};

class RunningCalls {
public:
    using CallId = uint64_t;

    explicit RunningCalls(RunningCallsOptions options = {})
        : m_options(options)
    {
    }

    /// Records that a call was sent to the upstream. Several calls may have the same request id, such as a call and its
    /// hedge.
    void add(CallId, const std::string& requestId, const ParentCall&);
    /// Removes a call that has been answered. Does nothing if there is no such call.
    void remove(CallId, const std::string& requestId);
    /// Keeps a call that was given up until its deadline. Does nothing if there is no such call.
    void abandon(CallId, const std::string& requestId, TimePoint now);
    /// The call that runs under this request id; the latest one if there are several.
    std::optional<ParentCall> find(std::string_view requestId, TimePoint now) const;
    /// Number of request ids in the index.
    size_t size() const { return m_calls.size(); }

private:
    struct Run {
        CallId id { 0 };
        ParentCall call;
    };
    struct Abandoned {
        CallId id { 0 };
        std::string requestId;
        TimePoint deadline;
    };
    struct StringHash {
        using is_transparent = void;
        size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
    };

    void evict(TimePoint now);

    RunningCallsOptions m_options;
    std::unordered_map<std::string, std::vector<Run>, StringHash, std::equal_to<>> m_calls;
    /// In the order in which they were given up.
    std::deque<Abandoned> m_abandoned;
};

} // namespace dragonflylane
