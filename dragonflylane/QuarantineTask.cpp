#include "dragonflylane/QuarantineTask.h"

#include "dragonflylane/CrashTask.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/LogTask.h"

namespace dragonflylane {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 500 };

    void logChange(const ChangeQuarantineCommand& command, std::error_code error)
    {
        Event(error ? "quarantine_not_stored" : "quarantine_stored", error ? EventLevel::Warning : EventLevel::Info)
            .with("added", command.added.size())
            .with("removed", command.removed.size())
            .with("reason", error);
    }

} // namespace

QuarantineTask::QuarantineTask(boost::asio::io_context& context, LogTask& log, CrashTask& crash)
    : m_log(log)
    , m_crash(crash)
    , m_timer(context, [this] { work(); })
{
}

void QuarantineTask::start()
{
    work();
}

void QuarantineTask::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

std::vector<CrashRecord> QuarantineTask::quarantined()
{
    adoptStored();
    return m_crash.quarantined();
}

// Once for each term: the host may have been started since, or may have missed broadcasts. How long the quarantine has
// lasted is not stored, so it begins anew. Deaths that were cleared meanwhile don't come back.
void QuarantineTask::adoptStored()
{
    Term term = m_log.replica().term();
    if (m_term == term)
        return;
    m_term = term;
    for (const QuarantinedRequest& request : m_log.stateMachine().quarantine().all()) {
        m_crash.merge({ .fingerprint = request.fingerprint,
            .deaths = request.deaths,
            .remaining = CrashQuarantineOptions().retention });
    }
}

void QuarantineTask::storeChanges()
{
    auto command = m_log.stateMachine().quarantine().changeTo(m_crash.list());
    if (!command || m_isSubmitting)
        return;
    m_isSubmitting = true;
    m_log.submit(*command, [this, command](std::error_code error, const ApplyOutcome&) {
        m_isSubmitting = false;
        logChange(*command, error);
    });
}

void QuarantineTask::release(Fingerprint fingerprint, std::function<void(std::optional<std::error_code>)> callback)
{
    adoptStored();
    bool isStored = m_log.stateMachine().quarantine().contains(fingerprint);
    if (!m_crash.release(fingerprint) && !isStored)
        return callback(std::nullopt);
    if (!isStored)
        return callback(std::error_code());
    ChangeQuarantineCommand command { .removed = { fingerprint } };
    m_log.submit(command, [command, callback = std::move(callback)](std::error_code error, const ApplyOutcome&) {
        logChange(command, error);
        callback(error);
    });
}

void QuarantineTask::work()
{
    if (m_isStopped)
        return;
    TimePoint now = BootClock::now();
    if (m_log.isLeading(now)) {
        adoptStored();
        storeChanges();
    }
    m_timer.arm(now + checkInterval);
}

} // namespace dragonflylane
