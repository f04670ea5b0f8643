#pragma once

// Bytes of request and answer bodies that a process holds, with one limit for all calls.
//
//     BodyBudget budget(32 << 20);
//     BodyShare share(budget);
//     if (!share.growTo(bytesSoFar))
//         ...                          // refuse what is being read; others keep what they hold
//
// Pattern: an upstream in trouble sends bytes without end, or several callers upload at once. A limit for each body
// alone lets a handful of them take more memory than the host has, and the process that carries everybody's calls ends.
// One body may hold a part of the limit only, so that others find room beside it. Not thread-safe.

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
    /// Largest single body. While a body passes through the process there are several copies of it for a moment.
    uint64_t largestBody() const { return m_limit / largestShare; }

private:
    friend class BodyShare;
    static constexpr uint64_t largestShare = 8;

    const uint64_t m_limit;
    uint64_t m_used { 0 };
};

/// The limit of one body, or what the budget leaves to it, if there is one.
inline uint64_t largestBody(uint64_t limit, const BodyBudget* budget)
{
    return budget && budget->largestBody() < limit ? budget->largestBody() : limit;
}

/// What one body holds; given back when it ends.
class BodyShare {
public:
    BodyShare() = default;
    explicit BodyShare(BodyBudget& budget)
        : BodyShare(&budget)
    {
    }
    /// Without a budget, nothing is counted or refused.
    explicit BodyShare(BodyBudget* budget)
        : m_budget(budget)
    {
    }
    BodyShare(BodyShare&& other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    BodyShare& operator=(BodyShare&& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    BodyShare(const BodyShare&) = delete;
    BodyShare& operator=(const BodyShare&) = delete;
    ~BodyShare() { hold(0); }

    uint64_t bytes() const { return m_bytes; }

    /// Takes what the body has grown by. False if there is no room; then the share is as before.
    bool growTo(uint64_t bytes)
    {
        bool isTooLarge = m_budget && bytes > m_budget->largestBody();
        return !isTooLarge && growWithinLimit(bytes);
    }

    /// The same for what is no single body, such as a frame with its headers.
    bool growWithinLimit(uint64_t bytes)
    {
        if (!m_budget || bytes <= m_bytes)
            return true;
        if (m_budget->m_used + (bytes - m_bytes) > m_budget->m_limit)
            return false;
        hold(bytes);
        return true;
    }

    /// States what is held already, such as an answer that is ready and will be delivered.
    void hold(uint64_t bytes)
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
