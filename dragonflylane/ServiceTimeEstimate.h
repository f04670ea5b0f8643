#pragma once

// Estimate of the service time of one kind of call, from finished calls.
//
//     ServiceTimeEstimate estimate;
//     estimate.addSample(now - startedAt, CallOutcome::Success, now, options);
//     estimate.mean(now, options);
//
// Keeps an exponentially weighted mean and mean absolute deviation. Both decay towards zero without samples.

#include "dragonflylane/Admission.h"

namespace dragonflylane {

struct ServiceTimeOptions {
    /// Weight of a new sample.
    double weight { 0.1 };
    /// Without new samples an estimate halves in this time. Otherwise one slow period could cause all calls to be
    /// refused, and no sample would ever lower the estimate again.
    Duration halfLife { std::chrono::seconds(1) };
};

class ServiceTimeEstimate {
public:
    /// Zero before the first sample.
    Duration mean(TimePoint now, const ServiceTimeOptions&) const;
    /// The given number of mean absolute deviations.
    Duration margin(double deviations, TimePoint now, const ServiceTimeOptions&) const;
    /// Adds a sample. Ignores outcomes that carry no information about the service time.
    void addSample(Duration sample, CallOutcome, TimePoint now, const ServiceTimeOptions&);

private:
    double decayAt(TimePoint now, const ServiceTimeOptions&) const;

    /// In nanoseconds.
    double m_mean { 0 };
    double m_meanDeviation { 0 };
    TimePoint m_updatedAt;
    bool m_hasSamples { false };
};

} // namespace dragonflylane
