#include "dragonflylane/CrashSyncTask.h"

#include "dragonflylane/CrashTask.h"
#include "dragonflylane/CrashWire.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/PeerHub.h"

namespace dragonflylane {

CrashSyncTask::CrashSyncTask(
    boost::asio::io_context& context, CrashTask& crash, PeerHub& hub, Metrics& metrics, ChoosePeers choosePeers)
    : m_hub(hub)
    , m_metrics(metrics)
    , m_replication(crash.quarantine(), {},
          { .choosePeers = std::move(choosePeers),
              .merged = [&crash](Fingerprint fingerprint) { crash.logMerged(fingerprint); } })
    , m_timer(context, [this] {
        m_replication.tick(BootClock::now());
        processOutputs();
    })
{
}

void CrashSyncTask::start()
{
    m_hub.subscribe(FrameKind::CrashSync, [this](const PeerFrame& frame) { handleFrame(frame); });
}

void CrashSyncTask::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void CrashSyncTask::join()
{
    m_replication.join(BootClock::now());
    processOutputs();
}

bool CrashSyncTask::isSynchronised() const
{
    return m_replication.isSynchronised(BootClock::now());
}

void CrashSyncTask::handleFrame(const PeerFrame& frame)
{
    if (m_isStopped)
        return;
    m_metrics.add("control_bytes_received_crash", frame.payload.size());
    CrashSyncMessage message;
    if (decode(frame.payload, message))
        return m_metrics.add("crash_sync_malformed");
    m_replication.receive(frame.from, message, BootClock::now());
    processOutputs();
}

void CrashSyncTask::processOutputs()
{
    if (m_isStopped)
        return;
    for (const CrashSyncSend& output : m_replication.takeOutputs()) {
        std::string bytes = encode(output.message);
        m_metrics.add("control_bytes_sent_crash", bytes.size());
        m_hub.sendToHost(output.to, FrameKind::CrashSync, std::move(bytes));
    }
    if (m_replication.nextWakeup() != TimePoint::max())
        m_timer.arm(m_replication.nextWakeup());
}

} // namespace dragonflylane
