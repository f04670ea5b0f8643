#pragma once

// Service time of one kind of call, learned from the calls that ended.
//
//     ServiceTimeEstimate estimate;
//     estimate.learn(now - startedAt, CallOutcome::Success, now, options);
//     estimate.mean(now, options);
//
// Keeps an exponentially weighted mean and the mean distance from it. Both fade without samples.

#include "dragonflylane/Admission.h"

namespace dragonflylane {

struct ServiceTimeOptions {
    /// Weight of a new sample.
    double weight { 0.1 };
    /// Without new samples an estimate halves in this time, so that one slow period cannot refuse all calls for ever.
    Duration halfLife { std::chrono::seconds(1) };
};

class ServiceTimeEstimate {
public:
    /// Zero before the first sample.
    Duration mean(TimePoint now, const ServiceTimeOptions&) const;
    /// So many mean distances from the mean.
    Duration margin(double deviations, TimePoint now, const ServiceTimeOptions&) const;
    /// Ignores outcomes that say nothing about the service time.
    void learn(Duration sample, CallOutcome, TimePoint now, const ServiceTimeOptions&);

private:
    double remaining(TimePoint now, const ServiceTimeOptions&) const;

    double m_nanoseconds { 0 };
    double m_deviation { 0 };
    TimePoint m_updatedAt;
    bool m_hasSample { false };
};

} // namespace dragonflylane
