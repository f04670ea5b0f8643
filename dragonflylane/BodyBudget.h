#pragma once

// Limits the memory that a process uses for the bodies of all requests and responses together.
//
//     BodyBudget budget(32 << 20);
//     BodyReservation reservation(budget);
//     if (!reservation.growTo(bytesSoFar))
//         ...                          // refuse the body being read; the other bodies keep their memory
//
// Prevents the following failure mode. A faulty upstream sends an endless body, or several callers upload at once. With
// only a limit per body, a few of them could use more memory than the host has, and the daemon, which serves all calls
// of the host, would be killed. A single body may use only a fraction of the limit, so that there is memory left for
// others. Not thread-safe.

#include <cstdint>
#include <utility>

namespace dragonflylane {

class BodyBudget {
public:
    explicit BodyBudget(uint64_t limit)
        : m_limit(limit)
    {
    }

    uint64_t limit() const { return m_limit; }
    uint64_t used() const { return m_used; }
    /// Largest single body: an eighth of the limit, since there are several copies of a body for a short time while it
    /// is forwarded.
    uint64_t largestBody() const { return m_limit / maxBodyDivisor; }

private:
    friend class BodyReservation;
    static constexpr uint64_t maxBodyDivisor = 8;

    const uint64_t m_limit;
    uint64_t m_used { 0 };
};

/// The smaller of the given limit for one body and the largest body that the budget, if any, allows.
inline uint64_t largestBody(uint64_t limit, const BodyBudget* budget)
{
    return budget && budget->largestBody() < limit ? budget->largestBody() : limit;
}

/// The part of the budget that one body uses. Returned to the budget by the destructor.
class BodyReservation {
public:
    BodyReservation() = default;
    explicit BodyReservation(BodyBudget& budget)
        : BodyReservation(&budget)
    {
    }
    /// Without a budget, nothing is counted or refused.
    explicit BodyReservation(BodyBudget* budget)
        : m_budget(budget)
    {
    }
    BodyReservation(BodyReservation&& other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    BodyReservation& operator=(BodyReservation&& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;
    ~BodyReservation() { setBytes(0); }

    uint64_t bytes() const { return m_bytes; }

    /// Increases the reservation to this size. Returns false and changes nothing if the body would be too large or the
    /// budget is exhausted.
    bool growTo(uint64_t bytes)
    {
        bool isTooLarge = m_budget && bytes > m_budget->largestBody();
        return !isTooLarge && growWithinLimit(bytes);
    }

    /// The same without the limit for a single body, for other memory such as a frame with its headers.
    bool growWithinLimit(uint64_t bytes)
    {
        if (!m_budget || bytes <= m_bytes)
            return true;
        if (m_budget->m_used + (bytes - m_bytes) > m_budget->m_limit)
            return false;
        setBytes(bytes);
        return true;
    }

    /// Sets the size without checking any limit, for memory that is in use already, such as a complete response that
    /// will be delivered.
    void setBytes(uint64_t bytes)
    {
        if (!m_budget)
            return;
        m_budget->m_used = m_budget->m_used - m_bytes + bytes;
        m_bytes = bytes;
    }

private:
    BodyBudget* m_budget { nullptr };
    uint64_t m_bytes { 0 };
};

} // namespace dragonflylane
