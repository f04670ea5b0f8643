#pragma once

// Limit of concurrent calls of an upstream that starts or recovers, applied by its owner daemon, so that it holds for
// the calls of all entry daemons together. Contains no I/O and no clock.
//
//     pace.begin();                                             // a process started, or a drain was taken back
//     pace.recordRequest(typicalServiceTime, running);          // each call that arrives
//     pace.recordResponse(serviceTime, typicalServiceTime);     // each call that the upstream answered
//     pace.recordTrouble();                                     // each call that it shed, lost or did not answer in
//     time admission.setSlots(pace.limit());
//
// Response times are taken relative to what peers need for the same route, and averaged over a round of responses at
// one limit. After each round:
//   * in time: the limit doubles;
//   * much slower than the peers, but no slower than in the round before: the limit grows by a quarter, so that an
//     upstream that is slower for good reaches its slots;
//   * much slower than the peers and slower than in the round before, or any trouble: the limit halves.
// The warm-up ends once the limit has reached the slots.
//
// The peers must be able to serve the other calls meanwhile. If the first request after the start carries no service
// time of peers, as when all upstreams of a service start together, there is no warm-up.

#include "dragonflylane/BootClock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace dragonflylane {

struct WarmupPaceOptions {
    /// Concurrent calls at the start.
    uint32_t initialLimit { 2 };
    /// Responses that a round needs at least.
    uint32_t minRound { 4 };
    /// Responses are in time up to this ratio to the service time of the peers. Healthy peers differ almost as much.
    double inTimeRatio { 2.5 };
    /// A round counts as slower than the one before from this ratio on.
    double slowdownRatio { 1.4 };
};

/// Why the limit changed, for logs.
enum class PaceChange : uint8_t {
    None,
    Started,
    Doubled,
    Raised,
    Halved,
    Ended,
};

class WarmupPace {
public:
    explicit WarmupPace(WarmupPaceOptions options = {})
        : m_options(options)
    {
    }

    /// The upstream has started or recovered. The next request decides whether it warms up.
    void begin();
    /// Sets the slots that the upstream announced.
    void setSlots(uint32_t slots);
    /// A call for the upstream arrived while this many were running; `typical` is the service time of its peers, zero
    /// if unknown.
    PaceChange recordRequest(Duration typical, uint32_t running);
    PaceChange recordResponse(Duration serviceTime, Duration typical);
    PaceChange recordTrouble();

    bool isWarmingUp() const { return m_state == State::WarmingUp; }
    /// Calls that may run at the same time; the number of slots without a warm-up.
    uint32_t limit() const;
    /// Mean ratio of the service times to those of the peers in the last round; zero before the first one.
    double lastRatio() const { return m_lastRatio.value_or(0); }

private:
    enum class State : uint8_t {
        /// Waits for the first request.
        Pending,
        WarmingUp,
        Done,
    };

    void startRound();
    PaceChange finishRound();
    PaceChange halve();

    WarmupPaceOptions m_options;
    State m_state { State::Done };
    uint32_t m_slots { 0 };
    uint32_t m_limit { 0 };
    uint32_t m_responses { 0 };
    /// Sum of the logarithms of the ratios of the round.
    double m_logRatios { 0 };
    std::optional<double> m_lastRatio;
};

/// Name for logs, such as "doubled".
std::string_view name(PaceChange);

} // namespace dragonflylane
