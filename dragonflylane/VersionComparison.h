#pragma once

// Compares the answers of the target version of a roll-out with those of the other versions at the same time.
//
//     VersionComparison comparison(options);
//     comparison.add({ .target = { answers, bad }, .others = { answers, bad } }, now);
//     if (comparison.score() > threshold) ...      // the target is worse
//
// A CUSUM test (Page 1954): the score is the log-likelihood ratio of "bad answers are more frequent than at the other
// versions by `effect`" against "as frequent, within a margin", and never falls below zero. It therefore finds a
// version that turns bad later, whatever number of good answers came before. Trouble that strikes all versions alike,
// such as slow hosts, raises the rate of the other versions too and doesn't count. Contains no clock. O(1).

#include "dragonflylane/BootClock.h"

#include <cstdint>

namespace dragonflylane {

struct VersionComparisonOptions {
    /// The target may have this many times the bad answers of the other versions, and `marginRate` more.
    double marginFactor { 1.5 };
    double marginRate { 0.03 };
    /// Increase of the rate of bad answers that the test looks for.
    double effect { 0.1 };
    /// Answers without a bad one that the rate of the other versions starts with.
    double priorAnswers { 10 };
    /// The rate of the other versions is the higher one of two averages, whose answers lose half of their weight in
    /// these times if newer ones have come. The short one follows the beginning of trouble that strikes all versions.
    Duration shortHalfLife { std::chrono::milliseconds(150) };
    Duration longHalfLife { std::chrono::milliseconds(1500) };
    /// The score stays below this, so that it falls soon after a short disturbance such as the loss of an upstream.
    double maxScore { 15 };
};

/// Number of answers, and how many of them were bad: failed or slow.
struct AnswerCounts {
    uint64_t answers { 0 };
    uint64_t bad { 0 };
};

/// Answers since the previous call.
struct VersionAnswers {
    AnswerCounts target;
    AnswerCounts others;
};

class VersionComparison {
public:
    explicit VersionComparison(VersionComparisonOptions options = {});

    void add(const VersionAnswers&, TimePoint now);
    double score() const { return m_score; }
    /// Recent rate of bad answers of the other versions.
    double otherRate() const;

private:
    /// Sums whose earlier parts decay.
    struct Average {
        double answers { 0 };
        double bad { 0 };
    };

    void addOthers(const AnswerCounts&, TimePoint now);
    double rateOf(const Average&) const;

    VersionComparisonOptions m_options;
    Average m_shortAverage;
    Average m_longAverage;
    TimePoint m_othersAt;
    double m_score { 0 };
};

} // namespace dragonflylane
