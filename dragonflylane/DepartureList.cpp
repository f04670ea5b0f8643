#include "dragonflylane/DepartureList.h"

#include <algorithm>

namespace dragonflylane {

const DepartedProcess* DepartureList::findProcess(const UpstreamId& upstream, ProcessId process) const
{
    auto known = std::find_if(m_processes.begin(), m_processes.end(), [&](const DepartedProcess& departed) {
        return departed.upstream == upstream && departed.departure.process == process;
    });
    return known == m_processes.end() ? nullptr : &*known;
}

bool DepartureList::covers(const DepartedProcess& departed) const
{
    const DepartedProcess* known = findProcess(departed.upstream, departed.departure.process);
    if (!known)
        return false;
    bool saysAsMuch = !departed.departure.isFinal && departed.departure.sequence <= known->departure.sequence;
    return known->departure.isFinal || saysAsMuch;
}

bool DepartureList::add(const DepartedProcess& departed)
{
    if (covers(departed))
        return false;
    DepartedProcess merged = departed;
    if (const DepartedProcess* known = findProcess(departed.upstream, departed.departure.process)) {
        merged.departure.sequence = std::max(merged.departure.sequence, known->departure.sequence);
        m_processes.erase(m_processes.begin() + (known - m_processes.data()));
    }
    m_processes.push_back(std::move(merged));
    if (m_processes.size() > maxProcesses)
        m_processes.erase(m_processes.begin());
    return true;
}

const UpstreamDeparture* DepartureList::find(const UpstreamId& upstream, ProcessId process, Sequence announced) const
{
    const DepartedProcess* known = findProcess(upstream, process);
    bool isOutdated = known && (known->departure.isFinal || announced < known->departure.sequence);
    return isOutdated ? &known->departure : nullptr;
}

void DepartureList::removeCovered(const DepartureList& other)
{
    std::erase_if(m_processes, [&](const DepartedProcess& departed) { return other.covers(departed); });
}

} // namespace dragonflylane
