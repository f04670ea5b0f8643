#include "dragonflylane/StoredQuarantine.h"

#include <set>

namespace dragonflylane {

bool StoredQuarantine::apply(const ChangeQuarantineCommand& command)
{
    bool isChanged = false;
    for (Fingerprint fingerprint : command.removed)
        isChanged |= m_requests.erase(fingerprint) > 0;
    for (const QuarantinedRequest& request : command.added) {
        if (m_requests.size() < maxRequests)
            isChanged |= m_requests.try_emplace(request.fingerprint, request.deaths).second;
    }
    return isChanged;
}

std::optional<ChangeQuarantineCommand> StoredQuarantine::changeTo(const std::vector<CrashEntry>& entries) const
{
    ChangeQuarantineCommand command;
    std::set<Fingerprint> quarantined;
    for (const CrashEntry& entry : entries) {
        if (entry.state == CrashState::Quarantined)
            quarantined.insert(entry.fingerprint);
    }
    for (const auto& [fingerprint, deaths] : m_requests) {
        if (!quarantined.contains(fingerprint))
            command.removed.push_back(fingerprint);
    }
    size_t room = maxRequests + command.removed.size() - m_requests.size();
    for (const CrashEntry& entry : entries) {
        bool isNew = quarantined.contains(entry.fingerprint) && !contains(entry.fingerprint);
        if (isNew && command.added.size() < room)
            command.added.push_back({ .fingerprint = entry.fingerprint, .deaths = entry.deaths });
    }
    if (command.added.empty() && command.removed.empty())
        return std::nullopt;
    return command;
}

std::vector<QuarantinedRequest> StoredQuarantine::all() const
{
    std::vector<QuarantinedRequest> result;
    for (const auto& [fingerprint, deaths] : m_requests)
        result.push_back({ .fingerprint = fingerprint, .deaths = deaths });
    return result;
}

} // namespace dragonflylane
