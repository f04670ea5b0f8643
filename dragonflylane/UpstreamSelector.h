#pragma once

// Load balancing at the entry daemon: chooses the upstream for each attempt. One selector per called service.
//
//     UpstreamSelector selector({ .self = host, .dataCentre = "kandy-a", .region = "lk-central", .seed = seed });
//     selector.rebuild(candidates, now);                    // whenever the routing table changes
//     std::optional<Choice> choice = selector.choose(triedHosts, now);
//     selector.finished(*choice, SelectionOutcome::Success, load, now);   // exactly once for each choice
//
// The local upstream (the one of this daemon) is preferred while it has spare capacity and no other is much faster.
// Otherwise random candidates of the nearest data centre are compared by their expected finish (power of two choices,
// Mitzenmacher 2001): their service time relative to that of their peers, plus the wait that their load per slot
// causes. Upstreams that report no speed count as equally fast, which leaves the load per slot.
//
// Only a subset of the candidates is used, which rebuild() selects by rendezvous hashing with the host id of the
// daemon. choose() costs at most O(subset); rebuild() costs O(candidates) for the hashes and O(subset) for the rest.

#include "dragonflylane/Admission.h"
#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/RelativeServiceTime.h"
#include "dragonflylane/TypicalServiceTimes.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace dragonflylane {

/// One upstream of the service, as listed in the routing table.
struct UpstreamCandidate {
    UpstreamId id;
    HostId owner;
    DataCentreName dataCentre;
    RegionName region;
    uint32_t slots { 0 };
    bool isReady { false };
    /// When this daemon first saw it ready, which begins its slow start. A time long past means no slow start.
    TimePoint readySince;
};

/// The upstream that was chosen for an attempt.
struct Choice {
    UpstreamId upstream;
    HostId owner;
    /// Number of the selector's entry for the upstream. It stays the same across rebuilds while the upstream is in the
    /// subset and keeps its owner, so that finished() can ignore a choice whose entry was removed.
    uint64_t entry { 0 };
    /// Chosen by the selector for the target version of a roll-out, see EntryServiceState.
    bool isTarget { false };
};

enum class SelectionOutcome : uint8_t {
    Success,
    /// The upstream answered with an error. This lowers its success rate, but does not eject it.
    Error,
    /// No response, a malformed response, or a lost connection.
    Failure,
    Timeout,
    /// The owner or the upstream refused because of load.
    Refused,
    /// The upstream is draining, gone or replaced, or its owner is shutting down or cannot be reached. The upstream is
    /// avoided for a while, since the routing table may still list it.
    Unavailable,
    /// The attempt carries no information about the upstream, for example after a cancellation.
    Ignored,
};

struct UpstreamSelectorOptions {
    HostId self;
    DataCentreName dataCentre;
    RegionName region;
    uint64_t seed { 1 };
    size_t subsetSize { 20 };
    /// Share of the subset that is taken from the daemon's own data centre if it has enough upstreams.
    double ownDataCentreShare { 0.5 };
    Duration slowStart { std::chrono::seconds(10) };
    /// Weight of an upstream at the start of its slow start.
    double minSlowStartWeight { 0.1 };
    /// Load per slot from which a more distant data centre is considered too. Below 1, so that traffic spills over
    /// before a queue forms.
    double spillLoad { 0.8 };
    /// The local upstream is chosen while its load per slot is below this: its calls need no network link.
    double localUpstreamMaxLoad { 0.75 };
    /// Upper bound of spillLoad for a call that an owner has refused, since other upstreams of that data centre are
    /// likely to be full as well.
    double spillLoadAfterRefusal { 0.8 };
    /// The part of a reported load that other entry daemons cause halves in this time.
    Duration reportHalfLife { std::chrono::milliseconds(200) };
    /// Failures and timeouts since the last success after which an upstream is ejected.
    uint32_t ejectAfter { 5 };
    Duration ejection { std::chrono::seconds(5) };
    Duration maxEjection { std::chrono::seconds(60) };
    double maxEjectedShare { 0.34 };
    /// Weight of the latest response in the success rate of an upstream.
    double successRateWeight { 0.05 };
    /// An upstream with a lower success rate is avoided; a few errors are normal.
    double minSuccessRate { 0.75 };
    /// Without responses, the failure rate (1 - success rate) halves in this time.
    Duration successRateHalfLife { std::chrono::seconds(3) };
    Duration unavailableFor { std::chrono::seconds(3) };
    RelativeServiceTimeOptions relativeServiceTime {};
    /// The local upstream is chosen while its service time exceeds that of the alternative by no more than this factor
    /// and the network delay.
    double localUpstreamMaxSlowness { 1.25 };
    /// A pace limit holds for this long after its report.
    Duration paceLimitHold { std::chrono::seconds(1) };
    /// Random candidates that are compared once any speed is known; two until then.
    uint32_t samplesWithSpeeds { 3 };

    // Switches that disable a mechanism for a test.
    bool twoChoices { true };
    bool useReports { true };
    bool preferNearest { true };
    bool preferLocalUpstream { true };
    bool slowStartEnabled { true };
    bool ejectOutliers { true };
    bool avoidFailing { true };
    bool useSpeeds { true };
};

class UpstreamSelector {
public:
    explicit UpstreamSelector(UpstreamSelectorOptions);

    /// Replaces the candidates by those of a new routing table. Upstreams that are still listed keep their counters and
    /// ejections.
    void rebuild(std::span<const UpstreamCandidate>, TimePoint now);
    /// Chooses an upstream and counts the attempt as outstanding. Empty if no upstream is available except at the hosts
    /// already tried.
    std::optional<Choice> choose(std::span<const HostId> tried, TimePoint now);
    /// Chooses the upstream of the given owner, for another attempt at the same host. Empty if it has none available.
    std::optional<Choice> chooseOwner(const HostId&, TimePoint now);
    /// Ready upstreams in the subset.
    size_t size() const { return m_entries.size(); }
    /// Ends an attempt. The report is the one attached to the response, if any.
    void finished(const Choice&, SelectionOutcome, const std::optional<LoadReport>&, TimePoint now);

    /// Mean network delay of calls to other hosts, both ways together.
    void setNetworkDelay(Duration delay) { m_networkDelay = delay; }
    /// Typical service time of the route over the upstreams of the service; zero if unknown.
    Duration typicalServiceTime(uint64_t routeKey) const { return m_typicalServiceTimes.find(routeKey); }

    /// Upstreams of the subset, for connection management.
    std::vector<UpstreamId> subset() const;
    bool isEjected(const UpstreamId&, TimePoint now) const;
    uint32_t outstanding(const UpstreamId&) const;

private:
    /// Tiers by distance: own data centre, other data centres of the own region, other regions.
    static constexpr size_t tierCount = 3;

    struct Entry {
        UpstreamCandidate candidate;
        /// See Choice::entry.
        uint64_t number { 0 };
        size_t tier { 0 };
        uint32_t outstanding { 0 };
        /// Load caused by other entry daemons at the time of the last report.
        double loadFromOthers { 0 };
        uint32_t reportedLimit { 0 };
        std::optional<TimePoint> reportedAt;
        RelativeServiceTime relativeServiceTime;
        /// Concurrent calls that the owner allows, from the last report.
        std::optional<uint32_t> paceLimit;
        /// Exponentially weighted share of recent attempts that succeeded.
        double successRate { 1 };
        TimePoint successRateUpdatedAt;
        uint32_t failures { 0 };
        uint32_t ejections { 0 };
        std::optional<TimePoint> ejectedUntil;
        std::optional<TimePoint> unavailableUntil;
    };

    size_t tierOf(const UpstreamCandidate&) const;
    std::vector<size_t> chooseSubset(std::span<const UpstreamCandidate>) const;
    double slowStartWeight(const Entry&, TimePoint now) const;
    double successRate(const Entry&, TimePoint now) const;
    void recordResult(Entry&, bool isSuccess, TimePoint now);
    void recordReport(Entry&, const LoadReport&, TimePoint now);
    void recordSpeed(Entry&, const SpeedReport&, TimePoint now);
    /// Without any report of a speed, the choice is by load per slot alone.
    bool comparesSpeeds() const { return m_hasSpeeds && m_options.useSpeeds; }
    double loadPerSlot(const Entry&, TimePoint now) const;
    /// Service time relative to the typical one, including the momentary slowness.
    double relativeServiceTime(const Entry&, TimePoint now) const;
    /// Time until a new call would finish, as a multiple of the typical service time.
    double expectedFinish(const Entry&, TimePoint now) const;
    bool isUsable(const Entry&, std::span<const HostId> tried, TimePoint now) const;
    /// A random usable upstream of the tier other than the given one.
    std::optional<size_t> sample(
        size_t tier, std::span<const HostId> tried, std::optional<size_t> other, TimePoint now);
    /// The best of several samples of the nearest tiers.
    std::optional<size_t> chooseInTiers(std::span<const HostId> tried, TimePoint now);
    std::optional<size_t> chooseInTier(size_t tier, std::span<const HostId> tried, TimePoint now);
    /// The local upstream, if it has spare capacity.
    std::optional<size_t> localUpstream(std::span<const HostId> tried, TimePoint now);
    /// True if a call would finish much earlier at the other upstream than at the local one.
    bool isMuchFaster(size_t other, size_t local, TimePoint now) const;
    /// The upstream with the fewest outstanding requests, ejected or not.
    std::optional<size_t> chooseIgnoringEjection(std::span<const HostId> tried, TimePoint now) const;
    size_t ejectedCount(TimePoint now) const;
    void eject(Entry&, TimePoint now);
    double random();
    size_t randomBelow(size_t bound);

    UpstreamSelectorOptions m_options;
    std::mt19937_64 m_random;
    uint64_t m_nextNumber { 1 };
    std::vector<Entry> m_entries;
    std::array<std::vector<size_t>, tierCount> m_tiers;
    std::unordered_map<UpstreamId, size_t> m_index;
    TypicalServiceTimes m_typicalServiceTimes;
    bool m_hasSpeeds { false };
    /// Route of the latest speed report. Its typical service time is the unit of the network delay.
    uint64_t m_latestRoute { 0 };
    Duration m_networkDelay { 0 };
};

} // namespace dragonflylane
