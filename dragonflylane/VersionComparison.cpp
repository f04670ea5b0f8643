#include "dragonflylane/VersionComparison.h"

#include "dragonflylane/HalfLife.h"

#include <algorithm>
#include <cmath>

namespace dragonflylane {

namespace {

    // Keeps the logarithms finite if nearly all answers of the other versions are bad.
    constexpr double maxExpectedRate = 0.8;

} // namespace

VersionComparison::VersionComparison(VersionComparisonOptions options)
    : m_options(options)
{
}

double VersionComparison::rateOf(const Average& average) const
{
    return average.bad / (average.answers + m_options.priorAnswers);
}

double VersionComparison::otherRate() const
{
    return std::max(rateOf(m_shortAverage), rateOf(m_longAverage));
}

void VersionComparison::add(const VersionAnswers& counts, TimePoint now)
{
    addOthers(counts.others, now);
    if (counts.target.answers == 0)
        return;
    double expected = std::min(maxExpectedRate, m_options.marginRate + m_options.marginFactor * otherRate());
    double suspected = expected + m_options.effect;
    auto bad = static_cast<double>(std::min(counts.target.bad, counts.target.answers));
    double good = static_cast<double>(counts.target.answers) - bad;
    double change = bad * std::log(suspected / expected) + good * std::log((1 - suspected) / (1 - expected));
    m_score = std::clamp(m_score + change, 0.0, m_options.maxScore);
}

void VersionComparison::addOthers(const AnswerCounts& counts, TimePoint now)
{
    if (counts.answers == 0)
        return;
    auto update = [&](Average& average, Duration halfLife) {
        double kept = decayFactor(now - m_othersAt, halfLife);
        average.answers = average.answers * kept + static_cast<double>(counts.answers);
        average.bad = average.bad * kept + static_cast<double>(std::min(counts.bad, counts.answers));
    };
    update(m_shortAverage, m_options.shortHalfLife);
    update(m_longAverage, m_options.longHalfLife);
    m_othersAt = now;
}

} // namespace dragonflylane
