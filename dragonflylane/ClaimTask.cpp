#include "dragonflylane/ClaimTask.h"

#include "dragonflylane/ClaimWire.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/PeerHub.h"

#include <boost/asio/post.hpp>

namespace dragonflylane {

namespace {

    bool isForCoordinator(const ClaimMessage& message)
    {
        return std::holds_alternative<ClaimReply>(message) || std::holds_alternative<ClaimAck>(message);
    }

} // namespace

ClaimTask::ClaimTask(boost::asio::io_context& context, const HostId& self, uint64_t bootId, PeerHub& hub,
    Metrics& metrics, ProvenAtSource provenAtSource)
    : m_context(context)
    , m_self(self)
    , m_hub(hub)
    , m_metrics(metrics)
    , m_provenAtSource(std::move(provenAtSource))
    , m_records({ .self = self }, BootClock::now())
    , m_coordinator({ .self = self, .bootId = bootId })
    , m_timer(context, [this] {
        TimePoint now = BootClock::now();
        m_records.tick(now);
        m_coordinator.tick(now);
        processOutputs();
    })
{
}

void ClaimTask::start()
{
    m_hub.subscribe(FrameKind::Claim, [this](const PeerFrame& frame) { handleFrame(frame); });
}

void ClaimTask::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void ClaimTask::setView(const KeeperView& view)
{
    m_records.setView(view, BootClock::now());
    m_coordinator.setView(view);
    processOutputs();
}

void ClaimTask::setNoView()
{
    m_records.setNoView();
}

void ClaimTask::claim(uint64_t call, std::string key, Callback callback)
{
    updateProvenAt();
    m_callbacks.emplace(call, std::move(callback));
    m_coordinator.claim(call, std::move(key), BootClock::now());
    processOutputs();
}

void ClaimTask::finish(uint64_t call, std::string answer)
{
    m_coordinator.finish(call, std::move(answer), BootClock::now());
    processOutputs();
}

void ClaimTask::finishUnknown(uint64_t call)
{
    m_coordinator.finishUnknown(call, BootClock::now());
    processOutputs();
}

void ClaimTask::abandon(uint64_t call)
{
    m_callbacks.erase(call);
    m_coordinator.abandon(call, BootClock::now());
    processOutputs();
}

void ClaimTask::exportMetrics() const
{
    m_metrics.set("duplicate_records", m_records.size());
    m_metrics.set("duplicate_answer_bytes", m_records.answerBytes());
    m_metrics.set("claims_open", m_coordinator.openCalls());
}

void ClaimTask::handleFrame(const PeerFrame& frame)
{
    ClaimMessage message;
    if (decode(frame.payload, message))
        return m_metrics.add("claim_malformed");
    deliver(frame.from, message);
}

void ClaimTask::deliver(const HostId& from, const ClaimMessage& message)
{
    if (m_isStopped)
        return;
    updateProvenAt();
    if (isForCoordinator(message))
        m_coordinator.receive(from, message, BootClock::now());
    else
        m_records.receive(from, message, BootClock::now());
    processOutputs();
}

void ClaimTask::updateProvenAt()
{
    if (std::optional<TimePoint> provenAt = m_provenAtSource()) {
        m_records.setProvenAt(*provenAt);
        m_coordinator.setProvenAt(*provenAt);
    }
}

void ClaimTask::processOutputs()
{
    if (m_isStopped)
        return;
    for (const ClaimSend& output : m_records.takeOutputs())
        send(output);
    for (const ClaimOutput& output : m_coordinator.takeOutputs()) {
        if (const auto* message = std::get_if<ClaimSend>(&output))
            send(*message);
        else if (const auto* granted = std::get_if<ClaimGranted>(&output))
            finishClaim(granted->call, {});
        else if (const auto* refused = std::get_if<ClaimRefused>(&output))
            finishClaim(refused->call,
                { .code = refused->code, .isReplay = refused->code == ResultCode::Ok, .answer = refused->answer });
    }
    TimePoint next = TimePoint::max();
    for (auto wakeup : { m_records.nextWakeup(), m_coordinator.nextWakeup() })
        next = std::min(next, wakeup.value_or(TimePoint::max()));
    if (next != TimePoint::max())
        m_timer.arm(next);
}

void ClaimTask::send(const ClaimSend& output)
{
    if (output.to == m_self) {
        boost::asio::post(m_context, [this, message = output.message] { deliver(m_self, message); });
        return;
    }
    m_hub.sendToHost(output.to, FrameKind::Claim, encode(output.message));
}

void ClaimTask::finishClaim(uint64_t call, const Outcome& outcome)
{
    auto node = m_callbacks.extract(call);
    if (!node.empty())
        node.mapped()(outcome);
}

} // namespace dragonflylane
