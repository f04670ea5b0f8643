#include "dragonflylane/CrashReplication.h"

#include <utility>

namespace dragonflylane {

CrashReplication::CrashReplication(CrashQuarantine& quarantine, CrashReplicationOptions options, Hooks hooks)
    : m_quarantine(quarantine)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

// Skips the first two steps: the answers hold all records of the others.
void CrashReplication::join(TimePoint now)
{
    if (m_joinedAt)
        return;
    m_joinedAt = now;
    m_nextComparison = now + m_options.interval;
    std::vector<HostId> peers = m_hooks.choosePeers(m_options.peersAtJoin);
    m_awaited.insert(peers.begin(), peers.end());
    for (const HostId& peer : peers)
        m_outputs.push_back({ peer, { .digest = m_quarantine.digest(), .records = std::vector<CrashRecord>() } });
}

void CrashReplication::receive(const HostId& from, const CrashSyncMessage& message, TimePoint now)
{
    if (message.root && *message.root != m_quarantine.digest().root())
        m_outputs.push_back({ from, { .digest = m_quarantine.digest() } });
    if (message.digest) {
        // The records are chosen before those of the other daemon are added, since they are not to be returned to it.
        CrashSyncMessage answer { .records = recordsFor(*message.digest, now) };
        if (!message.records)
            answer.digest = m_quarantine.digest();
        m_outputs.push_back({ from, std::move(answer) });
    }
    if (!message.records)
        return;
    merge(*message.records, now);
    if (!message.digest)
        m_awaited.erase(from);
}

void CrashReplication::tick(TimePoint now)
{
    m_quarantine.tick(now);
    if (!m_joinedAt || now < m_nextComparison)
        return;
    m_nextComparison = now + m_options.interval;
    if (m_quarantine.size() == 0)
        return;
    for (const HostId& peer : m_hooks.choosePeers(m_options.peersPerInterval))
        m_outputs.push_back({ peer, { .root = m_quarantine.digest().root() } });
}

TimePoint CrashReplication::nextWakeup() const
{
    return m_joinedAt ? m_nextComparison : TimePoint::max();
}

std::vector<CrashSyncSend> CrashReplication::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

bool CrashReplication::isSynchronised(TimePoint now) const
{
    return m_joinedAt && (m_awaited.empty() || now - *m_joinedAt >= m_options.joinTimeout);
}

std::vector<CrashRecord> CrashReplication::recordsFor(const CrashDigest& other, TimePoint now)
{
    return m_quarantine.recordsIn(other, m_options.maxRecordsPerMessage, now);
}

void CrashReplication::merge(const std::vector<CrashRecord>& records, TimePoint now)
{
    for (const CrashRecord& record : records) {
        if (m_quarantine.merge(record, now))
            m_hooks.merged(record.fingerprint);
    }
}

} // namespace dragonflylane
