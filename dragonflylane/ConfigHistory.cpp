#include "dragonflylane/ConfigHistory.h"

#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/ResultCode.h"

#include <algorithm>

namespace dragonflylane {

ConfigHistory::ConfigHistory(ConfigHistoryOptions options)
    : m_options(options)
{
}

std::vector<ConfigDelta> ConfigHistory::deltas() const
{
    std::vector<ConfigDelta> result;
    result.reserve(m_deltas.size());
    for (const Entry& entry : m_deltas)
        result.push_back(entry.delta);
    return result;
}

void ConfigHistory::reset(ConfigState state)
{
    m_state = std::move(state);
    m_deltas.clear();
    m_bytes = 0;
    m_snapshot.clear();
}

std::error_code ConfigHistory::restore(ConfigState state, const std::vector<ConfigDelta>& deltas)
{
    for (size_t i = 0; i < deltas.size(); ++i) {
        bool last = i + 1 == deltas.size();
        if (deltas[i].toRevision != (last ? state.revision() : deltas[i + 1].fromRevision))
            return ResultCode::BaseMismatch;
        if (deltas[i].toDigest != (last ? state.digest() : deltas[i + 1].fromDigest))
            return ResultCode::DigestMismatch;
    }
    reset(std::move(state));
    for (const ConfigDelta& delta : deltas)
        record(delta);
    return {};
}

std::error_code ConfigHistory::append(const ConfigDelta& delta)
{
    ConfigState next = m_state;
    if (std::error_code error = next.apply(delta))
        return error;
    append(delta, std::move(next));
    return {};
}

void ConfigHistory::append(const ConfigDelta& delta, ConfigState next)
{
    m_state = std::move(next);
    m_snapshot.clear();
    record(delta);
}

void ConfigHistory::record(const ConfigDelta& delta)
{
    m_deltas.push_back({ delta, encodeDelta(delta).size() });
    m_bytes += m_deltas.back().bytes;
    while (m_deltas.size() > m_options.maxDeltas || (m_bytes > m_options.maxBytes && !m_deltas.empty())) {
        m_bytes -= m_deltas.front().bytes;
        m_deltas.pop_front();
    }
}

ConfigPayload ConfigHistory::payloadFor(Revision held, const Digest& digest) const
{
    ConfigPayload payload;
    payload.revision = m_state.revision();
    payload.digest = m_state.digest();
    if (held > m_state.revision() || (held == m_state.revision() && digest == m_state.digest()))
        return payload;
    std::optional<ConfigDelta> delta = deltaSince(held);
    if (delta && delta->fromDigest == digest && transmittedBytes(*delta) <= snapshot().size()) {
        payload.kind = ConfigPayload::Kind::Delta;
        payload.delta = std::move(*delta);
        return payload;
    }
    payload.kind = ConfigPayload::Kind::Snapshot;
    payload.snapshot = snapshot();
    return payload;
}

std::optional<ConfigDelta> ConfigHistory::deltaSince(Revision held) const
{
    auto first = std::lower_bound(m_deltas.begin(), m_deltas.end(), held,
        [](const Entry& entry, Revision wanted) { return entry.delta.fromRevision < wanted; });
    if (first == m_deltas.end() || first->delta.fromRevision != held)
        return std::nullopt;
    ConfigDelta merged = first->delta;
    while (++first != m_deltas.end())
        merged.append(first->delta);
    return merged;
}

const std::string& ConfigHistory::snapshot() const
{
    if (m_snapshot.empty())
        m_snapshot = encodeSnapshot(m_state);
    return m_snapshot;
}

} // namespace dragonflylane
