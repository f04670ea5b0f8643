#include "dragonflylane/LinkLiveness.h"

namespace dragonflylane {

LinkLiveness::LinkLiveness(const LinkLivenessOptions& options, TimePoint now)
    : m_options(options)
    , m_lastReceivedAt(now)
{
}

void LinkLiveness::sent(FrameKind kind)
{
    if (kind == FrameKind::ForwardRequest || kind == FrameKind::CallTransfer)
        ++m_callsInFlight;
    if (kind == FrameKind::ForwardCancel && m_callsInFlight > 0)
        --m_callsInFlight;
}

void LinkLiveness::received(FrameKind kind)
{
    // The response of a cancelled call may still arrive, but the cancel has already decremented the count.
    if (kind == FrameKind::ForwardResponse && m_callsInFlight > 0)
        --m_callsInFlight;
}

void LinkLiveness::bytesReceived(TimePoint now)
{
    m_lastReceivedAt = now;
    m_isProbing = false;
}

LinkLiveness::Action LinkLiveness::check(TimePoint now)
{
    if (m_isProbing)
        return now - m_probedAt > m_options.probeTimeout ? Action::Close : Action::None;
    Duration interval = hasCallInFlight() ? m_options.busyInterval : m_options.idleInterval;
    if (now - m_lastReceivedAt < interval)
        return Action::None;
    m_isProbing = true;
    m_probedAt = now;
    return Action::Probe;
}

} // namespace dragonflylane
