#include "dragonflylane/CrashQuarantine.h"

#include "dragonflylane/Digest.h"

#include <algorithm>
#include <numeric>

namespace dragonflylane {

namespace {

    // Clears of a popular request may list many deaths; the oldest are dropped first.
    constexpr size_t maxClearedPerFingerprint = 32;

    bool contains(const std::vector<CrashDeath>& deaths, const CrashDeath& death)
    {
        return std::find(deaths.begin(), deaths.end(), death) != deaths.end();
    }

    size_t bucketOf(Fingerprint fingerprint)
    {
        return fingerprint.value() % CrashDigest::bucketCount;
    }

    // A sum of hashes, since daemons may learn of the deaths in any order.
    uint64_t sumOfHashes(const std::vector<CrashDeath>& deaths, uint64_t seed)
    {
        return std::accumulate(
            deaths.begin(), deaths.end(), uint64_t { 0 }, [&](uint64_t sum, const CrashDeath& death) {
                return sum + stableHash(death.upstream.value(), seed + death.incarnation.value());
            });
    }

} // namespace

uint64_t CrashDigest::root() const
{
    return std::accumulate(buckets.begin(), buckets.end(), uint64_t { 0 });
}

CrashQuarantine::CrashQuarantine(CrashQuarantineOptions options)
    : m_options(options)
{
}

std::vector<CrashNotice> CrashQuarantine::upstreamDied(
    const UpstreamId& upstream, Incarnation incarnation, std::span<const Fingerprint> inFlight, TimePoint now)
{
    CrashDeath death { upstream, incarnation };
    std::set<Fingerprint> fingerprints(inFlight.begin(), inFlight.end());
    std::vector<CrashNotice> notices;
    CrashReport report { death, {} };
    for (Fingerprint fingerprint : fingerprints) {
        addDeath(fingerprint, death, now);
        report.fingerprints.push_back(fingerprint);
        if (report.fingerprints.size() < m_options.maxPerReport)
            continue;
        notices.emplace_back(report);
        report.fingerprints.clear();
    }
    if (!report.fingerprints.empty())
        notices.emplace_back(report);
    return notices;
}

std::optional<CrashNotice> CrashQuarantine::completed(Fingerprint fingerprint, TimePoint now)
{
    if (!m_options.clearsEnabled)
        return std::nullopt;
    return clearAll(fingerprint, false, now);
}

bool CrashQuarantine::receive(const CrashNotice& notice, TimePoint now)
{
    if (const auto* clear = std::get_if<CrashClear>(&notice)) {
        if (!m_options.clearsEnabled && !clear->isRelease)
            return false;
        return clearDeaths(*clear, now);
    }
    const auto& report = std::get<CrashReport>(notice);
    bool isChanged = false;
    for (Fingerprint fingerprint : report.fingerprints)
        isChanged |= addDeath(fingerprint, report.death, now);
    return isChanged;
}

CrashState CrashQuarantine::stateOf(Fingerprint fingerprint, TimePoint now) const
{
    auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.expiresAt <= now)
        return CrashState::Unsuspected;
    return stateOf(found->second);
}

std::vector<CrashEntry> CrashQuarantine::list(TimePoint now) const
{
    std::vector<CrashEntry> entries;
    for (const auto& [fingerprint, record] : m_records) {
        CrashState state = stateOf(fingerprint, now);
        if (state != CrashState::Unsuspected)
            entries.push_back({ fingerprint, state, record.deaths, record.expiresAt });
    }
    return entries;
}

std::optional<CrashNotice> CrashQuarantine::release(Fingerprint fingerprint, TimePoint now)
{
    return clearAll(fingerprint, true, now);
}

void CrashQuarantine::tick(TimePoint now)
{
    for (std::set<ExpiryKey>* queue : { &m_evictable, &m_quarantined }) {
        while (!queue->empty() && queue->begin()->first <= now)
            erase(queue->begin()->second);
    }
}

std::optional<TimePoint> CrashQuarantine::nextWakeup() const
{
    std::optional<TimePoint> wakeup;
    for (const std::set<ExpiryKey>* queue : { &m_evictable, &m_quarantined }) {
        if (!queue->empty() && (!wakeup || queue->begin()->first < *wakeup))
            wakeup = queue->begin()->first;
    }
    return wakeup;
}

bool CrashQuarantine::addDeath(Fingerprint fingerprint, const CrashDeath& death, TimePoint now)
{
    Record* record = findOrInsert(fingerprint, now);
    if (!record)
        return false;
    if (contains(record->deaths, death) || contains(record->cleared, death))
        return false;
    if (record->deaths.size() < maxDeathsPerFingerprint)
        record->deaths.push_back(death);
    setExpiry(fingerprint, *record, now + m_options.retention);
    updateDigest(fingerprint, *record);
    return true;
}

// The report of a death may arrive after its clear, so the clear is recorded for unknown fingerprints too.
bool CrashQuarantine::clearDeaths(const CrashClear& clear, TimePoint now)
{
    Record* record = findOrInsert(clear.fingerprint, now);
    if (!record)
        return false;
    bool isChanged = false;
    for (const CrashDeath& death : clear.deaths)
        isChanged |= addClear(clear.fingerprint, *record, death);
    return isChanged;
}

bool CrashQuarantine::addClear(Fingerprint fingerprint, Record& record, const CrashDeath& death)
{
    if (contains(record.cleared, death))
        return false;
    std::erase(record.deaths, death);
    record.cleared.push_back(death);
    if (record.cleared.size() > maxClearedPerFingerprint)
        record.cleared.erase(record.cleared.begin());
    updateQueues(fingerprint, record);
    updateDigest(fingerprint, record);
    return true;
}

// The remaining time is passed on, so that daemons do not renew each other's records for ever.
bool CrashQuarantine::merge(const CrashRecord& other, TimePoint now)
{
    if (other.remaining <= Duration::zero())
        return false;
    bool isKnown = m_records.contains(other.fingerprint);
    Record* record = findOrInsert(other.fingerprint, now);
    if (!record)
        return false;
    TimePoint expiresAt = now + std::min(other.remaining, m_options.retention);
    setExpiry(other.fingerprint, *record, isKnown ? std::max(record->expiresAt, expiresAt) : expiresAt);
    bool isChanged = false;
    for (const CrashDeath& death : other.cleared)
        isChanged |= addClear(other.fingerprint, *record, death);
    for (const CrashDeath& death : other.deaths) {
        bool isNew = !contains(record->deaths, death) && !contains(record->cleared, death);
        if (!isNew || record->deaths.size() >= maxDeathsPerFingerprint)
            continue;
        record->deaths.push_back(death);
        isChanged = true;
    }
    updateQueues(other.fingerprint, *record);
    updateDigest(other.fingerprint, *record);
    return isChanged;
}

std::vector<CrashRecord> CrashQuarantine::recordsIn(const CrashDigest& other, size_t limit, TimePoint now)
{
    std::vector<CrashRecord> records;
    auto position = m_records.lower_bound(m_nextRecord);
    for (size_t visited = 0; visited < m_records.size() && records.size() < limit; ++visited) {
        if (position == m_records.end())
            position = m_records.begin();
        const auto& [fingerprint, record] = *position++;
        size_t bucket = bucketOf(fingerprint);
        if (other.buckets[bucket] != m_digest.buckets[bucket] && record.expiresAt > now)
            records.push_back({ fingerprint, record.deaths, record.cleared, record.expiresAt - now });
    }
    m_nextRecord = position == m_records.end() ? Fingerprint() : position->first;
    return records;
}

std::optional<CrashNotice> CrashQuarantine::clearAll(Fingerprint fingerprint, bool isRelease, TimePoint now)
{
    auto found = m_records.find(fingerprint);
    if (found == m_records.end() || found->second.deaths.empty() || found->second.expiresAt <= now)
        return std::nullopt;
    CrashClear clear { fingerprint, found->second.deaths, isRelease };
    clearDeaths(clear, now);
    return clear;
}

CrashQuarantine::Record* CrashQuarantine::findOrInsert(Fingerprint fingerprint, TimePoint now)
{
    auto found = m_records.find(fingerprint);
    if (found != m_records.end() && found->second.expiresAt > now)
        return &found->second;
    if (found != m_records.end())
        erase(fingerprint);
    if (m_records.size() >= m_options.maxFingerprints && !evictOne()) {
        ++m_dropped;
        return nullptr;
    }
    Record& record = m_records[fingerprint];
    record.expiresAt = now + m_options.retention;
    updateQueues(fingerprint, record);
    updateDigest(fingerprint, record);
    return &record;
}

// A quarantined fingerprint is never evicted: a flood of suspects must not release a request that crashes upstreams.
bool CrashQuarantine::evictOne()
{
    if (m_evictable.empty())
        return false;
    ++m_dropped;
    erase(m_evictable.begin()->second);
    return true;
}

void CrashQuarantine::setExpiry(Fingerprint fingerprint, Record& record, TimePoint expiresAt)
{
    m_evictable.erase({ record.expiresAt, fingerprint });
    m_quarantined.erase({ record.expiresAt, fingerprint });
    record.expiresAt = expiresAt;
    updateQueues(fingerprint, record);
}

void CrashQuarantine::updateQueues(Fingerprint fingerprint, const Record& record)
{
    ExpiryKey key { record.expiresAt, fingerprint };
    bool isQuarantined = stateOf(record) == CrashState::Quarantined;
    (isQuarantined ? m_evictable : m_quarantined).erase(key);
    (isQuarantined ? m_quarantined : m_evictable).insert(key);
}

void CrashQuarantine::erase(Fingerprint fingerprint)
{
    auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return;
    m_evictable.erase({ found->second.expiresAt, fingerprint });
    m_quarantined.erase({ found->second.expiresAt, fingerprint });
    m_digest.buckets[bucketOf(fingerprint)] -= found->second.hash;
    m_records.erase(found);
}

void CrashQuarantine::updateDigest(Fingerprint fingerprint, Record& record)
{
    uint64_t& digest = m_digest.buckets[bucketOf(fingerprint)];
    digest -= record.hash;
    record.hash = hashOf(fingerprint, record);
    digest += record.hash;
}

// Daemons may keep different ones of the many deaths of a quarantined request, which needs no repair.
uint64_t CrashQuarantine::hashOf(Fingerprint fingerprint, const Record& record) const
{
    constexpr uint64_t deathSeed = 1;
    constexpr uint64_t clearedSeed = uint64_t { 1 } << 32;
    bool isQuarantined = record.deaths.size() >= m_options.deathsToQuarantine;
    const uint64_t parts[] = { fingerprint.value(), isQuarantined ? 1U : 0U,
        isQuarantined ? 0 : sumOfHashes(record.deaths, deathSeed), sumOfHashes(record.cleared, clearedSeed) };
    return stableHash({ reinterpret_cast<const char*>(parts), sizeof(parts) });
}

CrashState CrashQuarantine::stateOf(const Record& record) const
{
    if (m_options.quarantineEnabled && record.deaths.size() >= m_options.deathsToQuarantine)
        return CrashState::Quarantined;
    return record.deaths.empty() ? CrashState::Unsuspected : CrashState::Suspect;
}

} // namespace dragonflylane
