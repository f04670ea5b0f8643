#pragma once

// Keeps the requests in quarantine in the replicated log while this control host leads it, and returns them to the
// crash quarantine when it begins to lead. All daemons may have been restarted in between.

#include "dragonflylane/CrashQuarantine.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <system_error>
#include <vector>

namespace dragonflylane {

class CrashTask;
class LogTask;
struct ChangeQuarantineCommand;

class QuarantineTask {
public:
    QuarantineTask(boost::asio::io_context&, LogTask&, CrashTask&);

    void start();
    void stop();

    /// The requests in quarantine, for a daemon that has been started. Call this only while this host leads.
    std::vector<CrashRecord> quarantined();
    /// Ends the quarantine of a request. Calls back once that is stored; an empty value means that the request is
    /// neither suspected nor quarantined. Call this only while this host leads.
    void release(Fingerprint, std::function<void(std::optional<std::error_code>)>);

private:
    void adoptStored();
    void storeChanges();
    void work();

    LogTask& m_log;
    CrashTask& m_crash;
    WakeupTimer m_timer;
    /// The term in which the stored requests were last adopted.
    std::optional<Term> m_term;
    bool m_isSubmitting { false };
    bool m_isStopped { false };
};

} // namespace dragonflylane
