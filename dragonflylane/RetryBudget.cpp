#include "dragonflylane/RetryBudget.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace dragonflylane {

RetryBudget::RetryBudget(RetryBudgetOptions options, TimePoint now)
    : m_options(options)
    , m_guaranteed(options.guaranteedPerSecond)
    , m_guaranteedAt(now)
{
}

void RetryBudget::recordSuccess()
{
    m_earned = std::min(m_options.maxEarned, m_earned + m_options.perSuccess);
}

bool RetryBudget::tryWithdraw(TimePoint now)
{
    if (!m_options.isEnabled)
        return true;
    if (m_options.window > Duration::zero()) {
        if (windowTokens(now) < 1)
            return false;
        ++currentBucket(now).retries;
        return true;
    }
    m_guaranteed = guaranteedTokens(now);
    m_guaranteedAt = std::max(m_guaranteedAt, now);
    if (m_guaranteed >= 1) {
        m_guaranteed -= 1;
        return true;
    }
    if (m_earned >= 1) {
        m_earned -= 1;
        return true;
    }
    return false;
}

void RetryBudget::recordRequest(TimePoint now)
{
    if (m_options.window > Duration::zero())
        ++currentBucket(now).requests;
}

RetryBudget::Bucket& RetryBudget::currentBucket(TimePoint now)
{
    int64_t number = now.time_since_epoch() / (m_options.window / bucketCount);
    Bucket& bucket = m_buckets[static_cast<size_t>(number % std::ssize(m_buckets))];
    if (bucket.number != number)
        bucket = { .number = number };
    return bucket;
}

// The oldest bucket may lie only partly in the window. To keep the bound, its retries count and its requests do not.
double RetryBudget::windowTokens(TimePoint now) const
{
    int64_t current = now.time_since_epoch() / (m_options.window / bucketCount);
    double tokens = m_options.slack;
    for (const Bucket& bucket : m_buckets) {
        bool isInWindow = bucket.number >= 0 && bucket.number <= current && bucket.number >= current - bucketCount;
        if (!isInWindow)
            continue;
        tokens -= bucket.retries;
        if (bucket.number > current - bucketCount)
            tokens += m_options.ratio * bucket.requests;
    }
    return tokens;
}

double RetryBudget::available(TimePoint now) const
{
    if (m_options.window > Duration::zero())
        return windowTokens(now);
    return guaranteedTokens(now) + m_earned;
}

double RetryBudget::guaranteedTokens(TimePoint now) const
{
    double seconds = std::chrono::duration<double>(std::max(Duration::zero(), now - m_guaranteedAt)).count();
    return std::min(m_options.guaranteedPerSecond, m_guaranteed + seconds * m_options.guaranteedPerSecond);
}

} // namespace dragonflylane
