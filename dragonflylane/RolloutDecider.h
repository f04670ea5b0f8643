#pragma once

// Decides at the control leader how far the roll-out of one service goes: the share of the target version, completion
// or roll-back.
//
//     RolloutDecider decider(item, now);
//     decider.follow(item, now);             // whenever the configuration changes
//     decider.add(report, now);              // evidence of an entry daemon
//     if (auto command = decider.decide(now)) ...     // replicate it
//
// Answers to the following failures. A version is bad, at once or later, on all routes or on one: it is rolled back
// after a few dozen bad answers, and meets a small share of the requests until late in the duration. All versions have
// trouble: that doesn't count. A host of the target is lost: the short burst of failures lowers the share, but is no
// verdict. The leader is replaced: the new one has followed the item and gets the cumulative evidence. Contains no
// clock.

#include "dragonflylane/RolloutCommands.h"
#include "dragonflylane/RolloutEvidence.h"

#include <optional>

namespace dragonflylane {

struct RolloutDeciderOptions {
    /// Score of the evidence at which the target is rolled back, if it stays there for `verdictTime`.
    double badScore { 11.5 };
    Duration verdictTime { std::chrono::milliseconds(250) };
    /// Score at which the share falls back to the first one, and the least time for which it stays there.
    double doubtScore { 5 };
    Duration doubtTime { std::chrono::milliseconds(500) };
    /// Number of times that a higher share may be taken back. The next time is a verdict: the version is bad under
    /// load.
    uint32_t maxFallbacks { 1 };
    /// Least time at the full share before completion, and its least part of the duration.
    Duration minFullShareTime { std::chrono::seconds(1) };
    double minFullSharePart { 0.05 };
    /// Least time at the full share when the duration is nearly over, for example because there was no leader for long.
    Duration minLateFullShareTime { std::chrono::milliseconds(500) };
    /// Least number of answers of the target for completion.
    uint64_t minAnswers { 20 };
    /// Part of the requests, and a number of requests beyond it, that the target may get before the second step.
    double maxFirstPart { 0.07 };
    uint64_t maxFirstRequests { 25 };
    /// The item repeats the elapsed time in this interval.
    Duration elapsedInterval { std::chrono::seconds(2) };
};

class RolloutDecider {
public:
    RolloutDecider(const RolloutItem&, TimePoint now, RolloutDeciderOptions options = {});

    /// Takes over the item as it is stored now.
    void follow(const RolloutItem&, TimePoint now);
    void add(const RolloutReport&, TimePoint now);
    /// The command to replicate, if the item should change. Call this after each report and a few times a second.
    std::optional<AdvanceRolloutCommand> decide(TimePoint now);

    const RolloutItem& item() const { return m_item; }
    const RolloutEvidence& evidence() const { return m_evidence; }

private:
    void updateVerdict(TimePoint now);
    bool isBad(TimePoint now) const;
    bool isInDoubt(TimePoint now) const;
    bool isOverExposed() const;
    bool mayComplete(TimePoint now) const;
    uint32_t plannedShare(TimePoint now) const;
    Duration elapsed(TimePoint now) const { return now - m_startedAt; }
    /// Elapsed part of the duration.
    double progress(TimePoint now) const;
    AdvanceRolloutCommand advance(RolloutState, uint32_t sharePermille, TimePoint now) const;

    RolloutDeciderOptions m_options;
    RolloutItem m_item;
    RolloutEvidence m_evidence;
    TimePoint m_startedAt;
    /// When the share became the full one.
    std::optional<TimePoint> m_fullSince;
    std::optional<TimePoint> m_badSince;
    std::optional<TimePoint> m_doubtedAt;
    uint32_t m_fallbacks { 0 };
};

} // namespace dragonflylane
